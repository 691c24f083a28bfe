package daemon

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/platform"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

const testSettings = `[daemon]
host = front-1
role = entry
ip = 10.1.0.24
failure_domain = pinecrest
first_port = 7200
seeds = SEEDS
[platform]
list = 10.200.0.63:8742
`

// Guards against a settings file that is read while it is being written: what it holds then
// must not stay in use, or be reported once a second, and the complete file must be read
// though its modification time is the same.
func TestSettingsFileBeingWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	modified := time.Now().Add(-time.Hour).Truncate(time.Second)
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path+".new", modified, modified); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	withSeeds := func(seeds string) string { return strings.Replace(testSettings, "SEEDS", seeds, 1) }
	write(withSeeds("10.1.0.1:8748"))
	settings, err := platform.LoadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	d := &platformDaemon{path: path, logger: zap.New(core)}
	d.settings.Store(settings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.reloadSettings(ctx, nil)

	waitFor := func(what string, condition func() bool) {
		t.Helper()
		// The timeout only ends a test that hangs.
		for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: seeds %v, log %v", what, d.seeds(), logs.All())
			}
		}
	}
	seedsAre := func(want ...string) func() bool { return func() bool { return slices.Equal(d.seeds(), want) } }
	rejections := func() int { return logs.FilterMessageSnippet("cannot reload settings").Len() }

	write("[daemon]\nhost = fr")
	waitFor("a file without its second half", func() bool { return rejections() > 0 })
	time.Sleep(2*settingsPollInterval + settingsPollInterval/2)
	if n := rejections(); n != 1 || !seedsAre("10.1.0.1:7200")() {
		t.Errorf("%d log lines for one broken file, seeds %v", n, d.seeds())
	}
	write(withSeeds("10.1.0.2:8748"))
	waitFor("the complete file", seedsAre("10.1.0.2:7200"))
	write(withSeeds("10.1.0.2:8748,10.1.0.3:8748"))
	waitFor("a longer file of the same time", seedsAre("10.1.0.2:7200", "10.1.0.3:7200"))
}
