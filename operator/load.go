package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Defaults and limits of the command load. Both are small, because the command
// tests entries that also serve real callers.
const (
	defaultLoadDuration    = 30 * time.Second
	maxLoadDuration        = 10 * time.Minute
	defaultLoadConcurrency = 32
	maxLoadConcurrency     = 512
	maxLoadTokens          = 1 << 20
	maxPromptWords         = 1 << 16
	// minRetryDelay keeps workers from retrying refused requests in a tight loop.
	minRetryDelay = 100 * time.Millisecond
)

type loadFlags struct {
	entry          string
	ca             string
	keyFile        string
	model          string
	duration       time.Duration
	concurrency    int
	maxTokens      int
	promptWords    int
	stallThreshold time.Duration
	seed           int64
}

var loadCommand = command{
	name: "load", summary: "send generations to a running entry and measure stalls and latency",
	examples: []string{
		"arbutusctl load -entry 127.0.0.1:7102 -key-file team.key -model coach-llm",
		"arbutusctl load -entry 127.0.0.1:7102 -model coach-llm -duration 10s -concurrency 8 -json",
	},
	addFlags: func(inv *invocation) {
		f := &inv.load
		inv.flagSet.StringVar(&f.entry, "entry", "",
			"`addresses` of entries, comma separated; requests go to no other address")
		inv.flagSet.StringVar(&f.ca, "ca", "", "PEM `file` with the authority of the entry's certificate; enables TLS")
		inv.flagSet.StringVar(&f.keyFile, "key-file", "",
			"`file` with the caller's bearer key (or environment: "+EnvCallerKey+")")
		inv.flagSet.StringVar(&f.model, "model", "", "`model` or generation service to send requests to")
		inv.flagSet.DurationVar(&f.duration, "duration", defaultLoadDuration, "duration of the run")
		inv.flagSet.IntVar(&f.concurrency, "concurrency", defaultLoadConcurrency, "`number` of concurrent requests")
		inv.flagSet.IntVar(&f.maxTokens, "max-tokens", 256, "maximum `number` of tokens in a response")
		inv.flagSet.IntVar(&f.promptWords, "prompt-words", 64, "`number` of words in a prompt")
		inv.flagSet.DurationVar(&f.stallThreshold, "stall-after", 250*time.Millisecond,
			"waits for a token count as stall time beyond this limit")
		inv.flagSet.Int64Var(&f.seed, "seed", 1, "random seed of the prompts")
	},
	run: runLoad,
}

func (f loadFlags) validate() error {
	switch {
	case f.model == "":
		return usageErrorf("-model is needed")
	case f.duration <= 0 || f.duration > maxLoadDuration:
		return usageErrorf("-duration must be above 0 and at most %v", maxLoadDuration)
	case f.concurrency < 1 || f.concurrency > maxLoadConcurrency:
		return usageErrorf("-concurrency must be from 1 to %d", maxLoadConcurrency)
	case f.maxTokens < 1 || f.maxTokens > maxLoadTokens:
		return usageErrorf("-max-tokens must be from 1 to %d", maxLoadTokens)
	case f.promptWords < 1 || f.promptWords > maxPromptWords:
		return usageErrorf("-prompt-words must be from 1 to %d", maxPromptWords)
	case f.stallThreshold <= 0:
		return usageErrorf("-stall-after must be above 0")
	}
	return nil
}

// loadGenerator sends requests to entries and collects statistics of the responses.
type loadGenerator struct {
	flags    loadFlags
	key      string
	urls     []string
	client   *http.Client
	stats    *loadStats
	inFlight atomic.Int64
}

func newLoadGenerator(inv *invocation) (*loadGenerator, error) {
	f := inv.load
	if err := f.validate(); err != nil {
		return nil, err
	}
	addresses, err := parseAddresses("entry", f.entry)
	if err != nil {
		return nil, err
	}
	key, err := inv.readSecret("the caller's key", f.keyFile, EnvCallerKey)
	if err != nil {
		return nil, err
	}
	g := &loadGenerator{flags: f, key: key, client: newHTTPClient(f.concurrency), stats: newLoadStats()}
	scheme := "http"
	if f.ca != "" {
		scheme = "https"
		pem, err := os.ReadFile(f.ca)
		if err != nil {
			return nil, errors.Wrap(err, "read -ca")
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("read -ca: %s contains no certificate", f.ca)
		}
		g.client.Transport.(*http.Transport).TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
	}
	for _, address := range addresses {
		g.urls = append(g.urls, scheme+"://"+address+"/v1/chat/completions")
	}
	return g, nil
}

func runLoad(ctx context.Context, inv *invocation) error {
	if err := inv.requireArgs(0); err != nil {
		return err
	}
	g, err := newLoadGenerator(inv)
	if err != nil {
		return err
	}
	defer g.client.CloseIdleConnections()
	runCtx, cancel := context.WithTimeout(ctx, g.flags.duration)
	defer cancel()
	start := time.Now()
	var workers sync.WaitGroup
	for i := range g.flags.concurrency {
		workers.Go(func() { g.runWorker(runCtx, i) })
	}
	finished := make(chan struct{})
	go func() { workers.Wait(); close(finished) }()
	g.showProgress(inv, start, finished)
	result := g.stats.result(time.Since(start))
	if inv.asJSON {
		inv.printJSON(result)
	} else {
		result.print(inv)
	}
	if result.Complete == 0 {
		return exitErrorf(ExitFailure, "no response was completed")
	}
	return nil
}

// showProgress waits until the workers finish. Meanwhile it updates a progress line
// if the standard error is a terminal.
func (g *loadGenerator) showProgress(inv *invocation, start time.Time, finished <-chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-finished:
			if inv.app.Terminal {
				fmt.Fprint(inv.app.Stderr, "\r\x1b[K")
			}
			return
		case <-ticker.C:
			if inv.app.Terminal {
				complete, failed := g.stats.totals()
				fmt.Fprintf(inv.app.Stderr, "\r\x1b[K%s of %s: %d complete, %d refused or failed, %d running",
					time.Since(start).Round(time.Second), g.flags.duration, complete, failed, g.inFlight.Load())
			}
		}
	}
}

// runWorker sends requests sequentially until ctx ends.
func (g *loadGenerator) runWorker(ctx context.Context, worker int) {
	rng := rand.New(rand.NewSource(g.flags.seed + int64(worker)))
	for i := worker; ctx.Err() == nil; i++ {
		g.inFlight.Add(1)
		stats := g.send(ctx, g.urls[i%len(g.urls)], randomPrompt(rng, g.flags.promptWords))
		g.inFlight.Add(-1)
		// The end of the run cancels requests in progress. These are not failures of
		// the entry.
		stats.cutOff = !stats.complete && ctx.Err() != nil
		g.stats.add(stats)
		if !stats.complete && !sleep(ctx, max(stats.retryAfter, minRetryDelay)) {
			return
		}
	}
}

var promptVocabulary = strings.Fields(
	"draft review slope season plan lesson edge turn balance speed stop lift terrain goal " +
		"claim patent figure prior art filing office term notice agent drawing abstract scope")

func randomPrompt(rng *rand.Rand, words int) string {
	var b strings.Builder
	for i := range words {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(promptVocabulary[rng.Intn(len(promptVocabulary))])
	}
	return b.String()
}

func (g *loadGenerator) newRequest(ctx context.Context, url, prompt string) (*http.Request, error) {
	type chatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body, err := json.Marshal(struct {
		Model     string        `json:"model"`
		Stream    bool          `json:"stream"`
		MaxTokens int           `json:"max_tokens"`
		Messages  []chatMessage `json:"messages"`
	}{g.flags.model, true, g.flags.maxTokens, []chatMessage{{"user", prompt}}})
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	request.Header.Set("Authorization", "Bearer "+g.key)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
