package operator

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

// Environment variables of the tool. Secrets are read from the environment or from
// files, because all users of a host can see the arguments of a process.
const (
	EnvControl     = "ARBUTUSMAST_CONTROL"
	EnvOps         = "ARBUTUSMAST_OPS"
	EnvOperatorKey = "ARBUTUSMAST_OPERATOR_KEY"
	EnvCallerKey   = "ARBUTUSMAST_CALLER_KEY"
)

const (
	defaultTimeout = 15 * time.Second
	maxSecretBytes = 4096
)

// invocation is one run of a command with its flags and arguments.
type invocation struct {
	app     *App
	command command
	flagSet *flag.FlagSet
	args    []string
	asJSON  bool

	control        string
	credentialFile string
	operatorName   string
	timeout        time.Duration
	certFiles      wire.CertFiles

	configuration configurationFlags
	fleet         fleetFlags
	burn          burnFlags
	load          loadFlags
}

func newInvocation(a *App, cmd command) *invocation {
	inv := &invocation{app: a, command: cmd, flagSet: flag.NewFlagSet(cmd.name, flag.ContinueOnError)}
	inv.flagSet.SetOutput(io.Discard)
	inv.flagSet.BoolVar(&inv.asJSON, "json", false, "print the output as JSON")
	if cmd.addFlags != nil {
		cmd.addFlags(inv)
	}
	return inv
}

// addControlFlags declares the flags of commands that call the control group.
func (inv *invocation) addControlFlags() {
	inv.flagSet.StringVar(&inv.control, "control", inv.app.Getenv(EnvControl),
		"peer `addresses` of control members, comma separated (environment: "+EnvControl+")")
	inv.flagSet.DurationVar(&inv.timeout, "timeout", defaultTimeout, "time limit of the whole command")
	inv.flagSet.StringVar(&inv.certFiles.Cert, "peer-cert", "",
		"PEM `file` with the tool's certificate, if control members use TLS")
	inv.flagSet.StringVar(&inv.certFiles.Key, "peer-key", "", "PEM `file` with the key of -peer-cert")
	inv.flagSet.StringVar(&inv.certFiles.CA, "peer-ca", "",
		"PEM `file` with the authority of the control members' certificates")
}

// peerDialer returns the dialer for control members. Nil means TCP without TLS.
func (inv *invocation) peerDialer() (wire.Dialer, error) {
	useTLS := inv.certFiles != wire.CertFiles{}
	if !useTLS || inv.app.Dial != nil {
		return inv.app.Dial, nil
	}
	if inv.certFiles.Cert == "" || inv.certFiles.Key == "" || inv.certFiles.CA == "" {
		return nil, usageErrorf("-peer-cert, -peer-key and -peer-ca go together")
	}
	reloader, err := wire.NewCertReloader(inv.certFiles, nil)
	if err != nil {
		return nil, err
	}
	return reloader.PeerDialer()
}

// addChangeFlags declares the flags of commands that change the configuration or
// the control group.
func (inv *invocation) addChangeFlags() {
	inv.addControlFlags()
	inv.flagSet.StringVar(&inv.credentialFile, "credential-file", "",
		"`file` with the operators' credential (or environment: "+EnvOperatorKey+")")
	inv.flagSet.StringVar(&inv.operatorName, "operator", cmp.Or(inv.app.Getenv("USER"), "unknown"),
		"`name` recorded with the change")
}

// parse reads flags and arguments in any order. It returns true if it printed the
// help text, after which the command does not run.
func (inv *invocation) parse(args []string) (done bool, err error) {
	for {
		err := inv.flagSet.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			inv.printHelp(inv.app.Stdout)
			return true, nil
		}
		if err != nil {
			return false, usageErrorf("%v", err)
		}
		rest := inv.flagSet.Args()
		if len(rest) == 0 {
			return false, nil
		}
		// Everything after "--" is an argument, even if it looks like a flag.
		if n := len(args) - len(rest); n > 0 && args[n-1] == "--" {
			inv.args = append(inv.args, rest...)
			return false, nil
		}
		if inv.command.passThrough {
			inv.args = slices.DeleteFunc(rest, func(arg string) bool {
				inv.asJSON = inv.asJSON || arg == "-json"
				return arg == "-json"
			})
			return false, nil
		}
		inv.args = append(inv.args, rest[0])
		args = rest[1:]
	}
}

func (inv *invocation) printHelp(out io.Writer) {
	fmt.Fprintf(out, "Usage: arbutusctl %s [flags] %s\n\n%s\n\nFlags:\n",
		inv.command.name, inv.command.arguments, inv.command.summary)
	inv.flagSet.SetOutput(out)
	inv.flagSet.PrintDefaults()
	fmt.Fprint(out, "\nExamples:\n")
	for _, example := range inv.command.examples {
		fmt.Fprintf(out, "  %s\n", example)
	}
	fmt.Fprint(out, exitCodesHelp)
}

func (inv *invocation) requireArgs(n int) error {
	if len(inv.args) != n {
		return usageErrorf("%d arguments are needed, got %d", n, len(inv.args))
	}
	return nil
}

// parseAddresses splits the comma-separated addresses in the value of a flag.
func parseAddresses(flagName, value string) ([]string, error) {
	var addresses []string
	for _, address := range strings.Split(value, ",") {
		if address = strings.TrimSpace(address); address == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usageErrorf("-%s: %q is not an IP address with a port", flagName, address)
		}
		addresses = append(addresses, address)
	}
	if len(addresses) == 0 {
		return nil, usageErrorf("-%s is needed", flagName)
	}
	return addresses, nil
}

// readSecret reads a secret from a file or, if none is given, from an environment
// variable. Errors call the secret by its description.
func (inv *invocation) readSecret(description, file, envVar string) (string, error) {
	if file == "" {
		value := strings.TrimSpace(inv.app.Getenv(envVar))
		if value == "" {
			return "", usageErrorf("%s is needed, in a file or in the environment variable %s", description, envVar)
		}
		return value, nil
	}
	info, err := os.Stat(file)
	if err != nil {
		return "", errors.Wrapf(err, "read %s", description)
	}
	if info.Mode().Perm()&0o077 != 0 {
		fmt.Fprintf(inv.app.Stderr, "warning: %s is readable by other users of this host\n", file)
	}
	if info.Size() > maxSecretBytes {
		return "", errors.Errorf("read %s: %s has more than %d bytes", description, file, maxSecretBytes)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrapf(err, "read %s", description)
	}
	value := strings.TrimSpace(string(data))
	if value == "" {
		return "", errors.Errorf("read %s: %s is empty", description, file)
	}
	return value, nil
}

func (inv *invocation) readCredential() (string, error) {
	return inv.readSecret("the operators' credential", inv.credentialFile, EnvOperatorKey)
}
