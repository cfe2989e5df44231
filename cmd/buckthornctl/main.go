package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"

	"github.com/buckthornpitch/buckthornpitch/internal/clock"
	"github.com/buckthornpitch/buckthornpitch/internal/opctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(opctl.Run(ctx, opctl.Env{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Colour: isTerminal(os.Stdout) && os.Getenv("NO_COLOR") == "" && os.Getenv("TERM") != "dumb",
		Random: rand.Reader,
		Clock:  clock.Real{},
	}, os.Args[1:]))
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
