package daemon

import (
	"context"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/cmds"
	"github.com/buckthornpitch/buckthornpitch/internal/config"
	"github.com/buckthornpitch/buckthornpitch/internal/logs"
	"github.com/buckthornpitch/buckthornpitch/internal/root"
)

// drainLimit is long enough for downloads in progress to finish; a second signal ends the process at once.
const drainLimit = 24 * time.Hour

type runCommand struct {
	Settings string `arg:"--settings,required,env:BUCKTHORNPITCH_SETTINGS" placeholder:"FILE" help:"settings file in TOML"`
}

type settingsCommand struct {
	Settings string `arg:"--settings,required,env:BUCKTHORNPITCH_SETTINGS" placeholder:"FILE" help:"settings file in TOML"`
}

// ignoreHangup ignores SIGHUP, which means that the settings may have changed. On the users' platform the daemon polls
// its settings file, elsewhere settings take effect at the next start.
func ignoreHangup() { signal.Ignore(syscall.SIGHUP) }

func run(command *runCommand, stdout, stderr io.Writer) int {
	ignoreHangup() // it may arrive as soon as the process exists
	settings, err := config.Load(command.Settings)
	if err != nil {
		return fail(stderr, cmds.Usage, err)
	}
	if settings.Fleet.InUse() {
		return runFleet(settings, command.Settings, stdout, stderr)
	}
	log := logs.New(stderr, settings.LogLevel).With().Str("daemon", settings.Name).Logger()
	stdlog.SetOutput(logs.NewLibraryWriter(log))
	return serve(settings, log, stderr)
}

// runFleet runs a daemon on the users' platform. It logs to the standard output, where the users' engineers read
// the logs.
func runFleet(settings *config.Settings, path string, stdout, stderr io.Writer) int {
	queue, budget := logs.NewQueue(stdout), logs.NewBudget(time.Now)
	log := logs.New(queue, settings.LogLevel).With().Str("daemon", settings.Name).Logger()
	klog.SetLogger(logs.NewKratosLogger(log))
	stdlog.SetOutput(logs.NewLibraryWriter(log))
	ctx, cancel := context.WithCancel(context.Background())
	var writer sync.WaitGroup
	writer.Go(func() { _ = queue.Run(ctx, log, budget) }) // ends only with ctx
	defer writer.Wait()
	defer cancel()
	daemon, err := root.NewFleet(settings, path, clock.Real{}, log, log.Sample(budget))
	if err != nil {
		return fail(stderr, cmds.Failed, err)
	}
	return serveDaemon(daemon, log, stderr)
}

// serve runs one daemon as a kratos application until a signal arrives.
func serve(settings *config.Settings, log zerolog.Logger, stderr io.Writer) int {
	klog.SetLogger(logs.NewKratosLogger(log))
	daemon, err := root.New(settings, clock.Real{}, log)
	if err != nil {
		return fail(stderr, cmds.Failed, err)
	}
	return serveDaemon(daemon, log, stderr)
}

// serveDaemon runs the daemon until a signal to stop arrives or it fails.
func serveDaemon(daemon *root.Daemon, log zerolog.Logger, stderr io.Writer) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return serveUntil(signals, daemon, log, stderr)
}

// serveUntil runs the daemon until the first signal, on which it drains, or until the second one.
func serveUntil(signals <-chan os.Signal, daemon *root.Daemon, log zerolog.Logger, stderr io.Writer) int {
	app := kratos.New(
		kratos.Name("buckthornd"),
		kratos.Server(daemon),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(drainLimit),
	)
	done := make(chan error, 1)
	go func() { done <- app.Run() }()
	for signalCount := 1; ; signalCount++ {
		select {
		case err := <-done:
			if err != nil {
				return fail(stderr, cmds.Failed, err)
			}
			return cmds.OK
		case <-signals:
			if signalCount > 1 {
				log.Warn().Msg("second-signal")
				return cmds.Failed
			}
			// The application listens for signals only once its servers have started.
			if err := app.Stop(); err != nil {
				log.Warn().Err(err).Msg("application-stop-failed")
			}
		}
	}
}

func printSettings(command *settingsCommand, stdout, stderr io.Writer) int {
	settings, err := config.Load(command.Settings)
	if err != nil {
		return fail(stderr, cmds.Usage, err)
	}
	_, _ = io.WriteString(stdout, settings.Text())
	return cmds.OK
}
