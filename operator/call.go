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

// Environment variables. Secrets come from them or from files, because the
// arguments of a process are visible to all users of a host.
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

// call is one run of a command.
type call struct {
	app     *App
	command command
	set     *flag.FlagSet
	args    []string
	asJSON  bool

	control        string
	credentialFile string
	operator       string
	timeout        time.Duration
	keys           wire.CertFiles

	configuration configurationFlags
	fleet         fleetFlags
	burn          burnFlags
	load          loadFlags
}

func newCall(a *App, cmd command) *call {
	c := &call{app: a, command: cmd, set: flag.NewFlagSet(cmd.name, flag.ContinueOnError)}
	c.set.SetOutput(io.Discard)
	c.set.BoolVar(&c.asJSON, "json", false, "print JSON for machines")
	if cmd.flags != nil {
		cmd.flags(c)
	}
	return c
}

// controlFlags declares the flags of commands that call control members.
func (c *call) controlFlags() {
	c.set.StringVar(&c.control, "control", c.app.Getenv(EnvControl),
		"peer `addresses` of control members, comma separated (environment: "+EnvControl+")")
	c.set.DurationVar(&c.timeout, "timeout", defaultTimeout, "bound on the whole command")
	c.set.StringVar(&c.keys.Cert, "peer-cert", "", "PEM `file` with the tool's certificate, if control members use TLS")
	c.set.StringVar(&c.keys.Key, "peer-key", "", "PEM `file` with the key of -peer-cert")
	c.set.StringVar(&c.keys.CA, "peer-ca", "", "PEM `file` with the authority of the control members' certificates")
}

// dialer returns how to reach control members; nil means TCP without TLS.
func (c *call) dialer() (wire.Dialer, error) {
	given := c.keys != wire.CertFiles{}
	if !given || c.app.Dial != nil {
		return c.app.Dial, nil
	}
	if c.keys.Cert == "" || c.keys.Key == "" || c.keys.CA == "" {
		return nil, usage("-peer-cert, -peer-key and -peer-ca go together")
	}
	keys, err := wire.NewCertReloader(c.keys, nil)
	if err != nil {
		return nil, err
	}
	return keys.PeerDialer()
}

// changeFlags declares the flags of commands that change something.
func (c *call) changeFlags() {
	c.controlFlags()
	c.set.StringVar(&c.credentialFile, "credential-file", "",
		"`file` with the operators' credential (or environment: "+EnvOperatorKey+")")
	c.set.StringVar(&c.operator, "operator", cmp.Or(c.app.Getenv("USER"), "unknown"), "`name` recorded with the change")
}

// parse reads flags and arguments in any order. It returns true after help.
func (c *call) parse(args []string) (done bool, err error) {
	for {
		err := c.set.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			c.help(c.app.Stdout)
			return true, nil
		}
		if err != nil {
			return false, usage("%v", err)
		}
		rest := c.set.Args()
		if len(rest) == 0 {
			return false, nil
		}
		// What follows "--" are arguments, even if they look like flags.
		if n := len(args) - len(rest); n > 0 && args[n-1] == "--" {
			c.args = append(c.args, rest...)
			return false, nil
		}
		if c.command.verbatim {
			c.args = slices.DeleteFunc(rest, func(arg string) bool {
				c.asJSON = c.asJSON || arg == "-json"
				return arg == "-json"
			})
			return false, nil
		}
		c.args = append(c.args, rest[0])
		args = rest[1:]
	}
}

func (c *call) help(out io.Writer) {
	fmt.Fprintf(out, "Usage: arbutusctl %s [flags] %s\n\n%s\n\nFlags:\n", c.command.name, c.command.arguments, c.command.summary)
	c.set.SetOutput(out)
	c.set.PrintDefaults()
	fmt.Fprint(out, "\nExamples:\n")
	for _, e := range c.command.examples {
		fmt.Fprintf(out, "  %s\n", e)
	}
	fmt.Fprint(out, exitCodesHelp)
}

func (c *call) exactArgs(n int) error {
	if len(c.args) != n {
		return usage("%d arguments are needed, there are %d", n, len(c.args))
	}
	return nil
}

// addresses reads a list of addresses from a flag.
func addresses(name, list string) ([]string, error) {
	var out []string
	for _, address := range strings.Split(list, ",") {
		if address = strings.TrimSpace(address); address == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usage("-%s: %q is not an IP address with a port", name, address)
		}
		out = append(out, address)
	}
	if len(out) == 0 {
		return nil, usage("-%s is needed", name)
	}
	return out, nil
}

// secret reads a secret from a file or else from an environment variable.
func (c *call) secret(what, file, variable string) (string, error) {
	if file == "" {
		value := strings.TrimSpace(c.app.Getenv(variable))
		if value == "" {
			return "", usage("%s is needed, from a file or the environment variable %s", what, variable)
		}
		return value, nil
	}
	info, err := os.Stat(file)
	if err != nil {
		return "", errors.Wrapf(err, "read %s", what)
	}
	if info.Mode().Perm()&0o077 != 0 {
		fmt.Fprintf(c.app.Stderr, "warning: %s is readable by other users of this host\n", file)
	}
	if info.Size() > maxSecretBytes {
		return "", errors.Errorf("read %s: %s has more than %d bytes", what, file, maxSecretBytes)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrapf(err, "read %s", what)
	}
	value := strings.TrimSpace(string(data))
	if value == "" {
		return "", errors.Errorf("read %s: %s is empty", what, file)
	}
	return value, nil
}

func (c *call) credential() (string, error) {
	return c.secret("the operators' credential", c.credentialFile, EnvOperatorKey)
}
