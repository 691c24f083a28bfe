// Package operator implements the commands of arbutusctl.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
	"sort"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Exit codes of the commands.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitConflict = 3
	// ExitNoQuorum means that no control member confirmed with a quorum that its
	// state is the newest.
	ExitNoQuorum  = 4
	ExitPartial   = 5
	ExitBurnAlert = 6
)

const exitCodesHelp = `
Exit codes:
  0  success
  1  failure; with faults in a declaration, each is listed
  2  wrong usage
  3  conflict: another change holds the revision, or a change is in progress
  4  not current: no control member reaches a quorum
  5  partial: some of the given processes did not answer
  6  an objective burns at the rate of a page (burn -alert)
`

// Fault is one validation error of a declaration with its position. Fields that
// are not known are empty.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
}

// String returns "file:line: [section] key: problem" without the parts that are
// not set.
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Section == "" {
		return b.String() + f.Problem
	}
	b.WriteString(contract.Fault{Section: f.Section, Key: f.Key, Problem: f.Problem}.String())
	return b.String()
}

// DeclarationReader reads and merges a folder of declarations. Read returns
// invalid content as faults, and an error only if it cannot read the folder.
type DeclarationReader interface {
	Read(folder string) (contract.Sections, []Fault, error)
}

// Measurement is a measurement that the command measure lists and runs. Run writes
// its result to out, as JSON if asJSON is set.
type Measurement struct {
	Summary string
	Run     func(ctx context.Context, args []string, out io.Writer, asJSON bool) error
}

// App holds the dependencies of the tool and runs its commands.
type App struct {
	Stdout, Stderr io.Writer
	// Terminal is set if Stderr is a terminal. Commands show progress only there.
	Terminal     bool
	Getenv       func(string) string
	Declarations DeclarationReader
	// DecodeSnapshot decodes message.ConfigReply.Snapshot. If it is nil, the
	// snapshot is the CBOR encoding of the sections.
	DecodeSnapshot func([]byte) (contract.Sections, error)
	Measurements   map[string]Measurement
	// Dial replaces the dialer for control members in tests.
	Dial wire.Dialer
}

// exitError is an error with an exit code and the faults to print before it.
type exitError struct {
	code   int
	err    error
	faults []Fault
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// silentError sets the exit code of a command without printing an error, because
// the output of the command already shows the outcome.
type silentError struct{ code int }

func (e *silentError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, err: errors.Errorf(format, args...)}
}

func usageErrorf(format string, args ...any) error { return exitErrorf(ExitUsage, format, args...) }

// command is a command of the tool.
type command struct {
	name, arguments, summary string
	examples                 []string
	run                      func(ctx context.Context, inv *invocation) error
	// addFlags declares the flags of the command.
	addFlags func(inv *invocation)
	// passThrough leaves everything from the first argument on unparsed, apart from
	// -json.
	passThrough bool
}

func commands() []command {
	return []command{
		checkCommand, diffCommand, applyCommand, statusCommand, drainCommand, evacuateCommand, membersCommand,
		burnCommand, explainCommand, partsCommand, serversCommand, loadCommand, measureCommand, versionCommand,
	}
}

// Run runs the command that args name and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		a.printHelp(a.Stderr)
		return ExitUsage
	}
	if args[0] == "help" || args[0] == "-help" || args[0] == "--help" || args[0] == "-h" {
		a.printHelp(a.Stdout)
		return ExitOK
	}
	for _, cmd := range commands() {
		if cmd.name == args[0] {
			return a.runCommand(ctx, cmd, args[1:])
		}
	}
	fmt.Fprintf(a.Stderr, "arbutusctl: unknown command %q; see arbutusctl help\n", args[0])
	return ExitUsage
}

func (a *App) runCommand(ctx context.Context, cmd command, args []string) int {
	inv := newInvocation(a, cmd)
	done, err := inv.parse(args)
	if done {
		return ExitOK
	}
	if err == nil {
		err = cmd.run(ctx, inv)
	}
	return a.reportError(inv, err)
}

// reportError prints err, if any, and returns the exit code.
func (a *App) reportError(inv *invocation, err error) int {
	if err == nil {
		return ExitOK
	}
	var silent *silentError
	if errors.As(err, &silent) {
		return silent.code
	}
	code := ExitFailure
	var faults []Fault
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		code, faults = exitErr.code, exitErr.faults
	}
	if inv.asJSON {
		inv.printJSON(struct {
			Error    string  `json:"error"`
			ExitCode int     `json:"exit_code"`
			Faults   []Fault `json:"faults,omitempty"`
		}{err.Error(), code, faults})
		return code
	}
	for _, f := range faults {
		fmt.Fprintln(a.Stderr, f)
	}
	fmt.Fprintf(a.Stderr, "arbutusctl %s: %v\n", inv.command.name, err)
	if code == ExitUsage {
		fmt.Fprintf(a.Stderr, "See arbutusctl %s -help.\n", inv.command.name)
	}
	return code
}

func (a *App) printHelp(out io.Writer) {
	fmt.Fprint(out, "arbutusctl manages an arbutusmast deployment.\n\nCommands:\n")
	for _, cmd := range commands() {
		fmt.Fprintf(out, "  %-8s  %s\n", cmd.name, cmd.summary)
	}
	fmt.Fprint(out, "\narbutusctl COMMAND -help shows flags and examples.\n", exitCodesHelp)
}

func (inv *invocation) printJSON(v any) {
	encoder := json.NewEncoder(inv.app.Stdout)
	encoder.SetIndent("", "  ")
	// A failed write to standard output cannot be reported anywhere else.
	_ = encoder.Encode(v)
}

func (inv *invocation) printf(format string, args ...any) {
	fmt.Fprintf(inv.app.Stdout, format, args...)
}

func decodeCBOR(snapshot []byte) (contract.Sections, error) {
	var s contract.Sections
	return s, errors.Wrap(cbor.Unmarshal(snapshot, &s), "decode configuration")
}

var versionCommand = command{
	name: "version", summary: "print the version", examples: []string{"arbutusctl version -json"},
	run: func(_ context.Context, inv *invocation) error {
		v := struct {
			Version  string `json:"version"`
			Revision string `json:"revision,omitempty"`
			Modified bool   `json:"modified"`
			Go       string `json:"go"`
		}{Version: "unknown"}
		if info, ok := debug.ReadBuildInfo(); ok {
			v.Version, v.Go = info.Main.Version, info.GoVersion
			for _, s := range info.Settings {
				switch s.Key {
				case "vcs.revision":
					v.Revision = s.Value
				case "vcs.modified":
					v.Modified = s.Value == "true"
				}
			}
		}
		if inv.asJSON {
			inv.printJSON(v)
			return nil
		}
		inv.printf("arbutusctl %s %s (modified: %t, %s)\n", v.Version, v.Revision, v.Modified, v.Go)
		return nil
	},
}

var measureCommand = command{
	passThrough: true,
	name:        "measure", arguments: "[NAME [ARGUMENT ...]]", summary: "run a registered measurement, or list them",
	examples: []string{"arbutusctl measure", "arbutusctl measure policy -json"},
	run: func(ctx context.Context, inv *invocation) error {
		if len(inv.args) > 0 {
			m, ok := inv.app.Measurements[inv.args[0]]
			if !ok {
				return usageErrorf("unknown measurement %q", inv.args[0])
			}
			return m.Run(ctx, inv.args[1:], inv.app.Stdout, inv.asJSON)
		}
		names := make([]string, 0, len(inv.app.Measurements))
		for name := range inv.app.Measurements {
			names = append(names, name)
		}
		sort.Strings(names)
		if inv.asJSON {
			inv.printJSON(names)
			return nil
		}
		for _, name := range names {
			inv.printf("%-16s  %s\n", name, inv.app.Measurements[name].Summary)
		}
		return nil
	},
}

// sleep waits for d or until ctx ends. It reports whether d passed first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
