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

// Exit codes.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitConflict = 3
	// ExitNoQuorum means that no control member could confirm with a quorum
	// that it knows the newest state.
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

// Fault is one problem of a declaration.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
}

// String returns "file:line: [section] key: problem".
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

// DeclarationReader reads and merges a folder of declarations. Problems of the
// contents are faults; the error is for a folder that could not be read.
type DeclarationReader interface {
	Read(folder string) (contract.Sections, []Fault, error)
}

// Measurement is a registered measurement. It writes its result to out, as JSON if
// asked to.
type Measurement struct {
	Summary string
	Run     func(ctx context.Context, args []string, out io.Writer, asJSON bool) error
}

// App is the tool and what it needs from its surroundings.
type App struct {
	Stdout, Stderr io.Writer
	// Terminal is set when Stderr is a terminal, which gets progress.
	Terminal     bool
	Getenv       func(string) string
	Declarations DeclarationReader
	// DecodeSnapshot reads message.ConfigReply.Snapshot. Nil means CBOR of the
	// sections.
	DecodeSnapshot func([]byte) (contract.Sections, error)
	Measurements   map[string]Measurement
	// Dial overrides the connections to control members in tests.
	Dial wire.Dialer
}

// exitError is an error with an exit code.
type exitError struct {
	code   int
	err    error
	faults []Fault
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// silentError ends a command whose output already tells the outcome.
type silentError struct{ code int }

func (e *silentError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

func fail(code int, format string, args ...any) error {
	return &exitError{code: code, err: errors.Errorf(format, args...)}
}

func usage(format string, args ...any) error { return fail(ExitUsage, format, args...) }

// command is one command of the tool.
type command struct {
	name, arguments, summary string
	examples                 []string
	run                      func(ctx context.Context, c *call) error
	// flags declares the command's own flags.
	flags func(c *call)
	// verbatim commands pass on all that follows their first argument, except
	// -json.
	verbatim bool
}

func commands() []command {
	return []command{
		checkCommand, diffCommand, applyCommand, statusCommand, drainCommand, membersCommand,
		burnCommand, explainCommand, loadCommand, measureCommand, versionCommand,
	}
}

// Run runs one command and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		a.help(a.Stderr)
		return ExitUsage
	}
	if args[0] == "help" || args[0] == "-help" || args[0] == "--help" || args[0] == "-h" {
		a.help(a.Stdout)
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
	c := newCall(a, cmd)
	done, err := c.parse(args)
	if done {
		return ExitOK
	}
	if err == nil {
		err = cmd.run(ctx, c)
	}
	return a.report(c, err)
}

// report prints an error and returns the exit code.
func (a *App) report(c *call, err error) int {
	if err == nil {
		return ExitOK
	}
	var silent *silentError
	if errors.As(err, &silent) {
		return silent.code
	}
	code := ExitFailure
	var faults []Fault
	var e *exitError
	if errors.As(err, &e) {
		code, faults = e.code, e.faults
	}
	if c.asJSON {
		c.printJSON(struct {
			Error    string  `json:"error"`
			ExitCode int     `json:"exit_code"`
			Faults   []Fault `json:"faults,omitempty"`
		}{err.Error(), code, faults})
		return code
	}
	for _, f := range faults {
		fmt.Fprintln(a.Stderr, f)
	}
	fmt.Fprintf(a.Stderr, "arbutusctl %s: %v\n", c.command.name, err)
	if code == ExitUsage {
		fmt.Fprintf(a.Stderr, "See arbutusctl %s -help.\n", c.command.name)
	}
	return code
}

func (a *App) help(out io.Writer) {
	fmt.Fprint(out, "arbutusctl operates arbutusmast.\n\nCommands:\n")
	for _, cmd := range commands() {
		fmt.Fprintf(out, "  %-8s  %s\n", cmd.name, cmd.summary)
	}
	fmt.Fprint(out, "\narbutusctl COMMAND -help shows flags and examples.\n", exitCodesHelp)
}

func (c *call) printJSON(v any) {
	e := json.NewEncoder(c.app.Stdout)
	e.SetIndent("", "  ")
	// A failed write to standard output can not be reported anywhere else.
	_ = e.Encode(v)
}

func (c *call) printf(format string, args ...any) { fmt.Fprintf(c.app.Stdout, format, args...) }

func decodeCBOR(snapshot []byte) (contract.Sections, error) {
	var s contract.Sections
	return s, errors.Wrap(cbor.Unmarshal(snapshot, &s), "decode configuration")
}

var versionCommand = command{
	name: "version", summary: "print the version", examples: []string{"arbutusctl version -json"},
	run: func(_ context.Context, c *call) error {
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
		if c.asJSON {
			c.printJSON(v)
			return nil
		}
		c.printf("arbutusctl %s %s (modified: %t, %s)\n", v.Version, v.Revision, v.Modified, v.Go)
		return nil
	},
}

var measureCommand = command{
	verbatim: true,
	name:     "measure", arguments: "[NAME [ARGUMENT ...]]", summary: "run a registered measurement, or list them",
	examples: []string{"arbutusctl measure", "arbutusctl measure policy -json"},
	run: func(ctx context.Context, c *call) error {
		if len(c.args) > 0 {
			m, ok := c.app.Measurements[c.args[0]]
			if !ok {
				return usage("no measurement is named %q", c.args[0])
			}
			return m.Run(ctx, c.args[1:], c.app.Stdout, c.asJSON)
		}
		names := make([]string, 0, len(c.app.Measurements))
		for name := range c.app.Measurements {
			names = append(names, name)
		}
		sort.Strings(names)
		if c.asJSON {
			c.printJSON(names)
			return nil
		}
		for _, name := range names {
			c.printf("%-16s  %s\n", name, c.app.Measurements[name].Summary)
		}
		return nil
	},
}

// pause waits, and tells whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
