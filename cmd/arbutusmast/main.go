// Command arbutusmast runs one daemon of the serving system. The settings file
// says which roles it takes on.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"arbutusmast.example/arbutusmast/daemon"
	"arbutusmast.example/arbutusmast/observe"
	"arbutusmast.example/arbutusmast/platform"
	"arbutusmast.example/arbutusmast/settings"
	"go.uber.org/zap"
)

// version is set at link time for releases.
var version = "development"

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 3
	exitDrain    = 4
)

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("config", "", "settings `FILE`")
	hosted := flag.Bool("platform", false, "run the role that the settings in $"+platform.SettingsVariable+" name on the users' platform")
	check := flag.Bool("check", false, "check the settings and exit")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println("arbutusmast", version)
		return exitOK
	}
	if *hosted && flag.NArg() == 0 {
		return serveHosted(*path)
	}
	if *path == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitUsage
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	for _, warning := range s.Warnings {
		fmt.Fprintln(os.Stderr, "warning:", warning)
	}
	if *check {
		fmt.Println("settings are valid")
		return exitOK
	}
	return serve(s)
}

// gcPercent keeps the heap of a daemon with 18,000 callers below 32 MB while
// configurations change; at the default of 100 its peak was 32 MB.
const gcPercent = 50

// serveHosted runs a daemon on the users' platform. Without a path, the
// platform's environment variable names the settings.
func serveHosted(path string) int {
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		fmt.Fprintf(os.Stderr, "-platform needs settings: neither -config nor $%s names a file\n", platform.SettingsVariable)
		return exitUsage
	}
	pipe := observe.NewAsyncWriter(os.Stdout)
	defer pipe.Close()
	logger, err := observe.NewLogger(pipe, "info")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if err := daemon.RunOnPlatform(path, logger); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}

func serve(s *settings.Settings) int {
	debug.SetGCPercent(gcPercent)
	logger, err := observe.NewLogger(os.Stderr, s.Daemon.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	defer func() { _ = logger.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d, err := daemon.Start(s, logger)
	if err != nil {
		logger.Error("start failed", zap.Error(err))
		return exitFailure
	}
	defer d.Close()
	select {
	case err := <-d.Failures():
		logger.Error("daemon failed", zap.Error(err))
		return exitFailure
	case <-ctx.Done():
	}
	stop()
	logger.Info("draining", zap.Duration("timeout", s.Daemon.DrainTimeout))
	drainCtx, cancel := context.WithTimeout(context.Background(), s.Daemon.DrainTimeout)
	defer cancel()
	if err := d.Drain(drainCtx); err != nil {
		logger.Error("drain was cut short", zap.Error(err))
		return exitDrain
	}
	return exitOK
}
