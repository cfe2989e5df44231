package netest

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// fillTimeout bounds each connection that ListenFull opens; on loopback one is made at once while there is room.
const fillTimeout = 100 * time.Millisecond

// ListenFull returns the address of a listener that neither accepts nor refuses connections, as that of a hung process
// whose queue is full, and a function that closes it.
func ListenFull() (address string, closeAll func(), err error) {
	listener, err := listenShort()
	if err != nil {
		return "", nil, fmt.Errorf("listen with a short queue: %w", err)
	}
	closers := []func() error{listener.Close}
	closeAll = func() {
		for _, each := range closers {
			_ = each()
		}
	}
	for {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), fillTimeout)
		if err != nil {
			return listener.Addr().String(), closeAll, nil
		}
		closers = append(closers, conn.Close)
	}
}

// listenShort returns a listener with the shortest queue that the system allows.
func listenShort() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}
