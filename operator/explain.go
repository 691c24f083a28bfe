package operator

import (
	"context"
	"fmt"
	"os"

	"arbutusmast.example/arbutusmast/explain"
	"github.com/pkg/errors"
)

var explainCommand = command{
	name: "explain", arguments: "REQUEST-ID LOG...", summary: "show what the logs of daemons tell of one request and why it ended so",
	examples: []string{
		"arbutusctl explain 7c9f55bbda6cc36f /var/log/arbutusmast/*.log",
		"arbutusctl explain -json 7c9f55bbda6cc36f all.log",
	},
	run: runExplain,
}

func runExplain(_ context.Context, c *call) error {
	if len(c.args) < 2 {
		return usage("a request id and at least one log are needed")
	}
	var all []explain.Line
	for _, path := range c.args[1:] {
		lines, skipped, err := readLog(path)
		if err != nil {
			return err
		}
		if skipped > 0 {
			fmt.Fprintf(c.app.Stderr, "warning: %s: %d lines are not those of a daemon\n", path, skipped)
		}
		all = append(all, lines...)
	}
	report := explain.Explain(all, c.args[0])
	if c.asJSON {
		c.printJSON(report)
		return nil
	}
	return report.Write(c.app.Stdout)
}

func readLog(path string) ([]explain.Line, int, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "open a log")
	}
	defer func() { _ = f.Close() }()
	return explain.Read(f)
}
