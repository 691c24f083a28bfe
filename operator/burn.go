package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"arbutusmast.example/arbutusmast/burnreport"
	"arbutusmast.example/arbutusmast/core/burn"
	"github.com/pkg/errors"
)

type burnFlags struct {
	ops     string
	format  string
	output  string
	alert   bool
	timeout time.Duration
}

var burnCommand = command{
	name: "burn", summary: "merge and show the burn reports of several entries",
	examples: []string{
		"arbutusctl burn -ops 127.0.0.1:7101,127.0.0.1:7201",
		"arbutusctl burn -format html -output burn.html",
		"arbutusctl burn -alert -json    # exit code 6 when an objective burns at the rate of a page",
	},
	flags: func(c *call) {
		f := &c.burn
		c.set.StringVar(&f.ops, "ops", c.app.Getenv(EnvOps), "operators' `addresses` of all entries, comma separated (environment: "+EnvOps+")")
		c.set.StringVar(&f.format, "format", string(burnreport.FormatText), "text, json, html or snapshot")
		c.set.StringVar(&f.output, "output", "", "`file` to write instead of standard output")
		c.set.BoolVar(&f.alert, "alert", false, "exit with code 6 when an objective burns at the rate of a page")
		c.set.DurationVar(&f.timeout, "timeout", defaultTimeout, "bound on the whole command")
	},
	run: runBurn,
}

func runBurn(ctx context.Context, c *call) error {
	if err := c.exactArgs(0); err != nil {
		return err
	}
	list, err := addresses("ops", c.burn.ops)
	if err != nil {
		return err
	}
	format := burnreport.Format(c.burn.format)
	if c.asJSON {
		format = burnreport.FormatJSON
	}
	ctx, cancel := context.WithTimeout(ctx, c.burn.timeout)
	defer cancel()
	snapshots, failed := fetchSnapshots(ctx, list)
	for _, err := range failed {
		fmt.Fprintf(c.app.Stderr, "warning: %v\n", err)
	}
	if len(snapshots) == 0 {
		return fail(ExitFailure, "no entry answered")
	}
	merged, err := burn.Merge(snapshots...)
	if err != nil {
		return err
	}
	body, err := burnreport.Render(merged, format)
	if err != nil {
		return usage("%v", err)
	}
	if err := c.writeOutput(body); err != nil {
		return err
	}
	if len(failed) > 0 {
		fmt.Fprintf(c.app.Stderr, "warning: the report lacks %d of %d entries\n", len(failed), len(list))
	}
	if c.burn.alert && burn.Evaluate(merged).Severity() == burn.SeverityPage {
		return &silentError{ExitBurnAlert}
	}
	if len(failed) > 0 {
		return &silentError{ExitPartial}
	}
	return nil
}

func (c *call) writeOutput(body []byte) error {
	if c.burn.output != "" {
		return errors.Wrap(os.WriteFile(c.burn.output, body, 0o644), "write burn report")
	}
	_, err := c.app.Stdout.Write(body)
	return errors.Wrap(err, "write burn report")
}

// fetchSnapshots asks all entries at the same time. Results have the order of
// the addresses.
func fetchSnapshots(ctx context.Context, list []string) ([]burn.Snapshot, []error) {
	client := newHTTPClient(len(list))
	defer client.CloseIdleConnections()
	snapshots, errs := make([]burn.Snapshot, len(list)), make([]error, len(list))
	done := make(chan struct{})
	for i, address := range list {
		go func() {
			snapshots[i], errs[i] = fetchSnapshot(ctx, client, address)
			done <- struct{}{}
		}()
	}
	for range list {
		<-done
	}
	var got []burn.Snapshot
	var failed []error
	for i, err := range errs {
		if err != nil {
			failed = append(failed, err)
			continue
		}
		got = append(got, snapshots[i])
	}
	return got, failed
}

func fetchSnapshot(ctx context.Context, client *http.Client, address string) (burn.Snapshot, error) {
	var none burn.Snapshot
	url := "http://" + address + "/burn?format=" + string(burnreport.FormatSnapshot)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return none, errors.Wrap(err, "fetch burn report")
	}
	response, err := client.Do(request)
	if err != nil {
		return none, errors.Wrap(err, "fetch burn report")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return none, errors.Errorf("fetch burn report: %s answered %s", address, response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, burn.MaxSnapshotBytes+1))
	if err != nil {
		return none, errors.Wrapf(err, "fetch burn report from %s", address)
	}
	s, err := burn.ParseSnapshot(body)
	return s, errors.Wrapf(err, "fetch burn report from %s", address)
}

// newHTTPClient returns a client that talks only to the given addresses: it
// uses no proxy and follows no redirect.
func newHTTPClient(connections int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections, ResponseHeaderTimeout: time.Minute},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
