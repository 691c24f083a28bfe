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
	"arbutusmast.example/arbutusmast/core/httpfield"
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
	name: "burn", summary: "merge and show the burn-rate reports of several entries",
	examples: []string{
		"arbutusctl burn -ops 127.0.0.1:7101,127.0.0.1:7201",
		"arbutusctl burn -format html -output burn.html",
		"arbutusctl burn -alert -json    # exit code 6 if an objective burns its error budget at the paging rate",
	},
	addFlags: func(inv *invocation) {
		f := &inv.burn
		inv.flagSet.StringVar(&f.ops, "ops", inv.app.Getenv(EnvOps),
			"ops_listen `addresses` of all entries, comma separated (environment: "+EnvOps+")")
		inv.flagSet.StringVar(&f.format, "format", string(burnreport.FormatText), "text, json, html or snapshot")
		inv.flagSet.StringVar(&f.output, "output", "", "`file` to write to instead of standard output")
		inv.flagSet.BoolVar(&f.alert, "alert", false,
			"exit with code 6 if an objective burns its error budget at the paging rate")
		inv.flagSet.DurationVar(&f.timeout, "timeout", defaultTimeout, "time limit of the whole command")
	},
	run: runBurn,
}

func runBurn(ctx context.Context, inv *invocation) error {
	if err := inv.requireArgs(0); err != nil {
		return err
	}
	addresses, err := parseAddresses("ops", inv.burn.ops)
	if err != nil {
		return err
	}
	format := burnreport.Format(inv.burn.format)
	if inv.asJSON {
		format = burnreport.FormatJSON
	}
	ctx, cancel := context.WithTimeout(ctx, inv.burn.timeout)
	defer cancel()
	snapshots, failed := fetchSnapshots(ctx, addresses)
	for _, err := range failed {
		fmt.Fprintf(inv.app.Stderr, "warning: %v\n", err)
	}
	if len(snapshots) == 0 {
		return exitErrorf(ExitFailure, "no entry answered")
	}
	merged, err := burn.Merge(snapshots...)
	if err != nil {
		return err
	}
	body, err := burnreport.Render(merged, format)
	if err != nil {
		return usageErrorf("%v", err)
	}
	if err := inv.writeBurnReport(body); err != nil {
		return err
	}
	if len(failed) > 0 {
		fmt.Fprintf(inv.app.Stderr, "warning: the report lacks %d of %d entries\n", len(failed), len(addresses))
	}
	if inv.burn.alert && burn.Evaluate(merged).Severity() == burn.SeverityPage {
		return &silentError{ExitBurnAlert}
	}
	if len(failed) > 0 {
		return &silentError{ExitPartial}
	}
	return nil
}

func (inv *invocation) writeBurnReport(body []byte) error {
	if inv.burn.output != "" {
		return errors.Wrap(os.WriteFile(inv.burn.output, body, 0o644), "write burn report")
	}
	_, err := inv.app.Stdout.Write(body)
	return errors.Wrap(err, "write burn report")
}

// fetchSnapshots fetches the burn-rate snapshots of all entries concurrently. It
// returns the snapshots and the errors, both in the order of the addresses.
func fetchSnapshots(ctx context.Context, addresses []string) ([]burn.Snapshot, []error) {
	client := newHTTPClient(len(addresses))
	defer client.CloseIdleConnections()
	snapshots, errs := make([]burn.Snapshot, len(addresses)), make([]error, len(addresses))
	done := make(chan struct{})
	for i, address := range addresses {
		go func() {
			snapshots[i], errs[i] = fetchSnapshot(ctx, client, address)
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
	var fetched []burn.Snapshot
	var failed []error
	for i, err := range errs {
		if err != nil {
			failed = append(failed, err)
			continue
		}
		fetched = append(fetched, snapshots[i])
	}
	return fetched, failed
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
	if err := httpfield.CheckNames(response.Header); err != nil {
		return none, errors.Wrapf(err, "fetch burn report from %s", address)
	}
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

// newHTTPClient returns a client that uses no proxy and follows no redirect, so
// that it connects only to the addresses of its requests.
func newHTTPClient(maxConnections int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections, ResponseHeaderTimeout: time.Minute,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
