package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

const (
	nonceSize        = 32
	maxHandshake     = 1 << 10
	maxName          = 128
	handshakeTimeout = 2 * time.Second

	kindHello wire.Kind = 1
	kindProof wire.Kind = 2
)

// ErrAuth reports a peer that does not prove knowledge of the shared secret.
var ErrAuth = errors.New("peer authentication failed")

type (
	// Hello opens the handshake in both directions.
	Hello struct {
		Version uint32 `protobuf:"varint,1,opt,name=version,proto3"`
		Name    string `protobuf:"bytes,2,opt,name=name,proto3"`
		Nonce   []byte `protobuf:"bytes,3,opt,name=nonce,proto3"`
	}

	// Proof shows that its sender knows the shared secret and has seen both nonces.
	Proof struct {
		MAC []byte `protobuf:"bytes,1,opt,name=mac,proto3"`
	}
)

// Check reports a version or a field that this program does not accept.
func (h *Hello) Check() error {
	switch {
	case h.Version != wire.Version:
		return fmt.Errorf("protocol version %d is not supported, expected %d", h.Version, wire.Version)
	case len(h.Nonce) != nonceSize:
		return fmt.Errorf("nonce has %d bytes, expected %d", len(h.Nonce), nonceSize)
	case h.Name == "" || len(h.Name) > maxName:
		return fmt.Errorf("name has %d bytes, expected 1 to %d", len(h.Name), maxName)
	}
	return nil
}

// Check reports a code of the wrong size.
func (p *Proof) Check() error {
	if len(p.MAC) != sha256.Size {
		return fmt.Errorf("authentication code has %d bytes, expected %d", len(p.MAC), sha256.Size)
	}
	return nil
}

// authenticate runs the mutual handshake and returns the peer's name.
func authenticate(conn net.Conn, secret []byte, name string, dialer bool) (string, error) {
	// The handshake bounds real I/O, so the deadline is on the machine's clock.
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", fmt.Errorf("set handshake deadline: %w", err)
	}
	own := &Hello{Version: wire.Version, Name: name, Nonce: make([]byte, nonceSize)}
	if _, err := rand.Read(own.Nonce); err != nil {
		return "", fmt.Errorf("read random nonce: %w", err)
	}
	if err := wire.WriteMessage(conn, kindHello, own); err != nil {
		return "", err
	}
	peer, err := readHandshake[Hello](conn, kindHello)
	if err != nil {
		return "", err
	}
	if err := wire.WriteMessage(conn, kindProof, &Proof{MAC: proofOf(secret, dialer, own, peer)}); err != nil {
		return "", err
	}
	proof, err := readHandshake[Proof](conn, kindProof)
	if err != nil {
		return "", err
	}
	if !hmac.Equal(proof.MAC, proofOf(secret, !dialer, peer, own)) {
		return "", fmt.Errorf("%w: %s (%s) has another secret", ErrAuth, peer.Name, conn.RemoteAddr())
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return "", fmt.Errorf("clear handshake deadline: %w", err)
	}
	return peer.Name, nil
}

// proofOf covers the sender's role, so that a peer cannot answer with a copy of the proof it received.
func proofOf(secret []byte, dialer bool, sender, receiver *Hello) []byte {
	role := byte('l')
	if dialer {
		role = 'd'
	}
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte{role})
	mac.Write(sender.Nonce)
	mac.Write(receiver.Nonce)
	mac.Write([]byte(sender.Name))
	return mac.Sum(nil)
}

func readHandshake[T any, M wire.Message[T]](conn net.Conn, kind wire.Kind) (M, error) {
	frame, err := wire.ReadFrame(conn, maxHandshake)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrAuth, err)
	}
	if frame.Kind != kind {
		return nil, fmt.Errorf("%w: frame kind %d, expected %d", ErrAuth, frame.Kind, kind)
	}
	message, err := wire.Decode[T, M](frame.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrAuth, err)
	}
	return message, nil
}
