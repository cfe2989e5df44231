package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/head"
)

const (
	// maxBody allows for the longest rules file, of 2 MiB, in which JSON escapes every byte.
	maxBody = 16 << 20

	// ContentType is the type of the body of an order. Browsers do not send it to another site without asking.
	ContentType = "application/json"

	// DefaultTimeout is the time for one request, in addition to the time that ParamWait requests.
	DefaultTimeout = 5 * time.Second
)

var (
	// ErrUnreachable means that the endpoint sent no response.
	ErrUnreachable = errors.New("not reachable")
	// ErrTimeout means that the response did not arrive in time.
	ErrTimeout = errors.New("timed out")
	// ErrInvalidResponse means that the response does not follow the protocol of the endpoint.
	ErrInvalidResponse = errors.New("invalid answer")
)

type (
	// Client sends requests to the operators' endpoint of one daemon. A response with an error status is
	// returned as an *Error.
	Client struct {
		// Address is the numeric IP address and port of the endpoint.
		Address string
		// Timeout is the time for one request; zero means DefaultTimeout.
		Timeout time.Duration
		// HTTP sends the requests; nil means a client that uses no proxy and follows no redirects.
		HTTP *http.Client
	}

	// Report is a pointer to the type of a response body of the endpoint.
	Report[T any] interface {
		*T
		// Check returns an error that names the first invalid field.
		Check() error
	}
)

// directClient ignores the proxy settings of the environment, because the endpoint has a numeric IP address.
var directClient = &http.Client{
	Transport:     head.Transport{Base: &http.Transport{}},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Status returns the status of the daemon.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	return get[Status](ctx, c, PathStatus, nil, 0)
}

// InForce returns which daemons have a revision in effect. The server delays its response by at most wait until
// all of them have it.
func (c *Client) InForce(ctx context.Context, revision uint64, wait time.Duration) (*InForce, error) {
	query := url.Values{ParamRevision: {strconv.FormatUint(revision, 10)}}
	wait = min(wait, MaxWait)
	if wait > 0 {
		query.Set(ParamWait, wait.String())
	}
	return get[InForce](ctx, c, PathInForce, query, wait)
}

// Rules returns the revision in effect with its text.
func (c *Client) Rules(ctx context.Context) (*Revision, error) {
	return get[Revision](ctx, c, PathRules, nil, 0)
}

// History returns at most limit revisions without their texts.
func (c *Client) History(ctx context.Context, limit int) (*History, error) {
	return get[History](ctx, c, PathHistory, url.Values{ParamLimit: {strconv.Itoa(limit)}}, 0)
}

// Revision returns one accepted revision with its text.
func (c *Client) Revision(ctx context.Context, number uint64) (*Revision, error) {
	return get[Revision](ctx, c, PathRevision+strconv.FormatUint(number, 10), nil, 0)
}

// Explain returns a rule of a revision; revision 0 is the one in effect.
func (c *Client) Explain(ctx context.Context, rule string, revision uint64) (*Explain, error) {
	query := url.Values{ParamRule: {rule}}
	if revision > 0 {
		query.Set(ParamRevision, strconv.FormatUint(revision, 10))
	}
	return get[Explain](ctx, c, PathExplain, query, 0)
}

// Dump returns the named sections of the daemon's state, or all sections.
func (c *Client) Dump(ctx context.Context, sections ...string) (*Dump, error) {
	return get[Dump](ctx, c, PathDump, url.Values{ParamSection: sections}, 0)
}

func get[T any, M Report[T]](ctx context.Context, c *Client, path string, query url.Values, wait time.Duration) (M, error) {
	target := url.URL{Scheme: "http", Host: c.Address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequest(http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, c.Address, err)
	}
	return send[T, M](ctx, c, request, wait)
}

func post[T any, M Report[T]](ctx context.Context, c *Client, path string, body any) (M, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", body, err)
	}
	target := url.URL{Scheme: "http", Host: c.Address, Path: path}
	request, err := http.NewRequest(http.MethodPost, target.String(), bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, c.Address, err)
	}
	request.Header.Set("Content-Type", ContentType)
	return send[T, M](ctx, c, request, 0)
}

// send sends a request and returns the report in its response; wait extends the time limit.
func send[T any, M Report[T]](ctx context.Context, c *Client, request *http.Request, wait time.Duration) (M, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+wait)
	defer cancel()
	client := c.HTTP
	if client == nil {
		client = directClient
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return nil, transportError(c.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	switch {
	case err != nil:
		return nil, transportError(c.Address, err)
	case len(body) > maxBody:
		return nil, fmt.Errorf("%w: %s: more than %d bytes", ErrInvalidResponse, c.Address, maxBody)
	case response.StatusCode != http.StatusOK:
		refusal, err := decode[Error](body)
		if err != nil {
			return nil, fmt.Errorf("%w: %s: status %d", ErrInvalidResponse, c.Address, response.StatusCode)
		}
		return nil, refusal
	}
	report, err := decode[T, M](body)
	if err != nil {
		return nil, fmt.Errorf("%w: %s%s: %w", ErrInvalidResponse, c.Address, request.URL.Path, err)
	}
	return report, nil
}

func decode[T any, M Report[T]](body []byte) (M, error) {
	report := M(new(T))
	if err := json.Unmarshal(body, report); err != nil {
		return nil, fmt.Errorf("decode %T: %w", report, err)
	}
	if err := report.Check(); err != nil {
		return nil, fmt.Errorf("check %T: %w", report, err)
	}
	return report, nil
}

func transportError(address string, err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%w: %s: %w", ErrTimeout, address, err)
	}
	if errors.Is(err, head.ErrMalformed) {
		return fmt.Errorf("%w: %s: %w", ErrInvalidResponse, address, err)
	}
	return fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
}
