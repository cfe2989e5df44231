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
	maxHandshakeSize = 1 << 10
	maxNameSize      = 128
	handshakeTimeout = 2 * time.Second

	kindHello wire.Kind = 1
	kindProof wire.Kind = 2
)

// ErrAuth reports a peer that does not prove knowledge of the shared secret.
var ErrAuth = errors.New("peer authentication failed")

type (
	// Hello is the first message of the handshake; both peers send one.
	Hello struct {
		Version uint32 `protobuf:"varint,1,opt,name=version,proto3"`
		Name    string `protobuf:"bytes,2,opt,name=name,proto3"`
		Nonce   []byte `protobuf:"bytes,3,opt,name=nonce,proto3"`
		// Zone is the availability zone of the daemon, empty if it is of an earlier version. It serves metrics only: the
		// proof does not cover it.
		Zone string `protobuf:"bytes,4,opt,name=zone,proto3"`
	}

	// Proof is the second message of the handshake. It proves that its sender knows the shared secret and has
	// received the nonce of the other peer.
	Proof struct {
		MAC []byte `protobuf:"bytes,1,opt,name=mac,proto3"`
	}
)

// Check returns an error if the protocol version is not supported or a field has an invalid size.
func (h *Hello) Check() error {
	switch {
	case h.Version != wire.Version:
		return fmt.Errorf("protocol version %d is not supported, expected %d", h.Version, wire.Version)
	case len(h.Nonce) != nonceSize:
		return fmt.Errorf("nonce has %d bytes, expected %d", len(h.Nonce), nonceSize)
	case len(h.Zone) > maxNameSize:
		return fmt.Errorf("zone has %d bytes, expected at most %d", len(h.Zone), maxNameSize)
	case h.Name == "" || len(h.Name) > maxNameSize:
		return fmt.Errorf("name has %d bytes, expected 1 to %d", len(h.Name), maxNameSize)
	}
	return nil
}

// Check returns an error if the authentication code has the wrong size.
func (p *Proof) Check() error {
	if len(p.MAC) != sha256.Size {
		return fmt.Errorf("authentication code has %d bytes, expected %d", len(p.MAC), sha256.Size)
	}
	return nil
}

// authenticate runs the mutual handshake on conn and returns the peer's message.
func authenticate(conn net.Conn, secret []byte, name, zone string, isDialer bool) (*Hello, error) {
	// The deadline applies to network I/O, so it uses the wall clock and not a clock.Clock.
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, fmt.Errorf("set handshake deadline: %w", err)
	}
	local := &Hello{Version: wire.Version, Name: name, Zone: zone, Nonce: make([]byte, nonceSize)}
	if _, err := rand.Read(local.Nonce); err != nil {
		return nil, fmt.Errorf("read random nonce: %w", err)
	}
	if err := wire.WriteMessage(conn, kindHello, local); err != nil {
		return nil, err
	}
	peer, err := readHandshakeMessage[Hello](conn, kindHello)
	if err != nil {
		return nil, err
	}
	if err := wire.WriteMessage(conn, kindProof, &Proof{MAC: computeProof(secret, isDialer, local, peer)}); err != nil {
		return nil, err
	}
	proof, err := readHandshakeMessage[Proof](conn, kindProof)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(proof.MAC, computeProof(secret, !isDialer, peer, local)) {
		return nil, fmt.Errorf("%w: peer %q (%s) has a different secret", ErrAuth, peer.Name, conn.RemoteAddr())
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("clear handshake deadline: %w", err)
	}
	return peer, nil
}

// computeProof returns the authentication code of a Proof. It covers the role of the sender, so that a peer
// cannot authenticate with a copy of the proof that it received.
func computeProof(secret []byte, isDialer bool, sender, receiver *Hello) []byte {
	role := byte('l')
	if isDialer {
		role = 'd'
	}
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte{role})
	mac.Write(sender.Nonce)
	mac.Write(receiver.Nonce)
	mac.Write([]byte(sender.Name))
	return mac.Sum(nil)
}

// readHandshakeMessage reads the next frame and decodes it as a message of the given kind. Errors wrap ErrAuth.
func readHandshakeMessage[T any, M wire.Message[T]](conn net.Conn, kind wire.Kind) (M, error) {
	frame, err := wire.ReadFrame(conn, maxHandshakeSize)
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
