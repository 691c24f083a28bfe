package operator

import (
	"context"
	"fmt"
	"os"

	"arbutusmast.example/arbutusmast/explain"
	"github.com/pkg/errors"
)

var explainCommand = command{
	name: "explain", arguments: "REQUEST-ID LOG...",
	summary: "show the daemons' log lines of one request and the causes of its outcome",
	examples: []string{
		"arbutusctl explain 7c9f55bbda6cc36f /var/log/arbutusmast/*.log",
		"arbutusctl explain -json 7c9f55bbda6cc36f all.log",
	},
	run: runExplain,
}

func runExplain(_ context.Context, inv *invocation) error {
	if len(inv.args) < 2 {
		return usageErrorf("a request id and at least one log file are needed")
	}
	var allLines []explain.Line
	for _, path := range inv.args[1:] {
		lines, skipped, err := readLog(path)
		if err != nil {
			return err
		}
		if skipped > 0 {
			fmt.Fprintf(inv.app.Stderr, "warning: %s: %d lines are not daemon log lines\n", path, skipped)
		}
		allLines = append(allLines, lines...)
	}
	report := explain.Explain(allLines, inv.args[0])
	if inv.asJSON {
		inv.printJSON(report)
		return nil
	}
	return report.Write(inv.app.Stdout)
}

func readLog(path string) ([]explain.Line, int, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "open log file")
	}
	defer func() { _ = f.Close() }()
	return explain.Read(f)
}
