// Command arbutusmast runs one daemon of the serving system. The settings file
// names the roles that the daemon runs.
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
	onPlatform := flag.Bool("platform", false,
		"run on the users' platform; without -config, $"+platform.SettingsVariable+" names the settings file")
	check := flag.Bool("check", false, "check the settings and exit")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *showVersion {
		fmt.Println("arbutusmast", version)
		return exitOK
	}
	if *onPlatform && flag.NArg() == 0 {
		return servePlatform(*path)
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

// gcPercent keeps the heap of a daemon with 18,000 callers below 32 MB during
// configuration changes. With the default of 100, the heap peaks at 32 MB.
const gcPercent = 50

// servePlatform runs a daemon on the users' platform. If path is empty, the
// platform's environment variable names the settings file.
func servePlatform(path string) int {
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		fmt.Fprintf(os.Stderr, "-platform needs a settings file: neither -config nor $%s names one\n",
			platform.SettingsVariable)
		return exitUsage
	}
	logWriter := observe.NewAsyncWriter(os.Stdout)
	defer logWriter.Close()
	logger, err := observe.NewLogger(logWriter, "info")
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

// serve runs a daemon until a signal or a fatal error, and drains it after a
// signal.
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
		logger.Error("cannot start daemon", zap.Error(err))
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
		logger.Error("drain did not finish", zap.Error(err))
		return exitDrain
	}
	return exitOK
}
