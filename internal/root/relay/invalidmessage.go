package relay

import (
	"errors"

	"github.com/buckthornpitch/buckthornpitch/internal/root/call/retry"
	"github.com/buckthornpitch/buckthornpitch/pkg/wire"
)

var errNotEncoded = errors.New("the request does not fit into a message")

// invalidRequestFailure returns the failure of a request that does not fit into a message.
func invalidRequestFailure(cause error) retry.Failure {
	if errors.Is(cause, errHeaderLimit) || errors.Is(cause, wire.ErrFrameTooLarge) {
		return retry.HeaderTooLarge{}
	}
	return retry.BadRequest{}
}

// isInvalidRequest reports whether every daemon would refuse the request.
func isInvalidRequest(failure retry.Failure) bool {
	switch failure.(type) {
	case retry.HeaderTooLarge, retry.BodyTooLarge, retry.BadRequest:
		return true
	}
	return false
}
