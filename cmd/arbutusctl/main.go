// Command arbutusctl is the operators' tool.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"arbutusmast.example/arbutusmast/measure/capacity"
	"arbutusmast.example/arbutusmast/measure/policy"
	"arbutusmast.example/arbutusmast/operator"
	"github.com/pkg/errors"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	app := &operator.App{
		Stdout: os.Stdout, Stderr: os.Stderr, Terminal: isTerminal(os.Stderr), Getenv: os.Getenv,
		Declarations: operator.FolderReader{},
		Measurements: map[string]operator.Measurement{
			"policy": {
				Summary: "the policy beside two baselines and an oracle, on virtual time", Run: measurePolicy,
			},
			"capacity": {
				Summary: "the cost of each part as it grows, and of each role at the design scale", Run: measureCapacity,
			},
		},
	}
	code := app.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// measureCapacity runs "arbutusctl measure capacity [-quick]".
func measureCapacity(ctx context.Context, args []string, out io.Writer, asJSON bool) error {
	flags := flag.NewFlagSet("measure capacity", flag.ContinueOnError)
	quick := flags.Bool("quick", false, "small sizes and short phases, only to check that the measurement runs")
	if err := flags.Parse(args); err != nil {
		return err
	}
	return capacity.Run(ctx, out, capacity.Options{JSON: asJSON, Quick: *quick})
}

// measurePolicy runs "arbutusctl measure policy [-options JSON]".
func measurePolicy(_ context.Context, args []string, out io.Writer, asJSON bool) error {
	flags := flag.NewFlagSet("measure policy", flag.ContinueOnError)
	optionsJSON := flags.String("options", "{}",
		"`JSON` object with the fields of policy.Options, such as {\"Seeds\":3,\"Loads\":[1,1.5]}")
	if err := flags.Parse(args); err != nil {
		return err
	}
	options := policy.Options{JSON: asJSON}
	if err := json.Unmarshal([]byte(*optionsJSON), &options); err != nil {
		return errors.Wrap(err, "read -options")
	}
	return policy.Run(out, options)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
