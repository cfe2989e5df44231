package super

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Guards against children that stop in the wrong order: traffic has to stop before the control loop.
func TestGroupStopsChildrenInOrder(t *testing.T) {
	var order []string
	started := make(chan struct{}, 2)
	child := func(name string) Child {
		return Child{Name: name, Run: func(ctx context.Context) error {
			started <- struct{}{}
			<-ctx.Done()
			order = append(order, name)
			return nil
		}}
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := &Group{Name: "test", Log: zerolog.Nop(), Children: []Child{child("call"), child("ctrl")}}
	done := make(chan error, 1)
	go func() { done <- group.Serve(ctx) }()
	<-started
	<-started
	cancel()
	<-done
	assert.DeepEqual(t, order, []string{"call", "ctrl"})
}

// Guards against a panic in one child that stops its siblings.
func TestGroupRestartsPanickedChild(t *testing.T) {
	var runs atomic.Int32
	restarted := make(chan struct{})
	group := &Group{Name: "test", Log: zerolog.Nop(), Children: []Child{{Name: "flaky", Run: func(ctx context.Context) error {
		if runs.Add(1) == 1 {
			panic("first run")
		}
		close(restarted)
		<-ctx.Done()
		return nil
	}}}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- group.Serve(ctx) }()
	<-restarted
	cancel()
	<-done
	assert.Equal(t, runs.Load(), int32(2))
}

// Guards against traffic that keeps running after the control loop ended with a fatal error.
func TestGroupEndsOnFatal(t *testing.T) {
	group := &Group{Name: "test", Log: zerolog.Nop(), Children: []Child{{Name: "loop", Run: func(context.Context) error {
		return ErrFatal
	}}}}
	err := group.Serve(context.Background())
	assert.Assert(t, errors.Is(err, ErrFatal), "got %v", err)
}
