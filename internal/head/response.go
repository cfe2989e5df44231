package head

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	fieldLength           = "Content-Length"
	fieldTransferEncoding = "Transfer-Encoding"
	fieldConnection       = "Connection"

	codingChunked = "chunked"
	optionClose   = "close"
	optionKeep    = "keep-alive"
)

type (
	// Response is a response whose head has been read and checked.
	Response struct {
		Status int
		Header http.Header
		// Body fails unless it ends as the head says. The end of the stream ends a body without a length.
		Body io.Reader
		// Length is the length of the body in bytes, -1 if it is not known before its end.
		Length int64
		// Close reports that the server closes the connection after the response.
		Close bool
		// Unframed reports that only the end of the stream marks the end of the body.
		Unframed bool
	}

	// version is the protocol version of a message.
	version int

	// lengthBody is a body with a length.
	lengthBody struct {
		reader    io.Reader
		remaining int64
	}

	// chunkedBody is a body in chunks. It reads and checks the trailer after the last one.
	chunkedBody struct {
		reader *bufio.Reader
		chunks io.Reader
		ended  bool
	}
)

const (
	version10 version = iota
	version11
)

// Interim reports whether another response to the same request follows.
func (r *Response) Interim() bool { return r.Status < http.StatusOK }

// ReadResponse reads the head of a response to a request with the given method. The caller bounds the bytes that the
// reader returns.
func ReadResponse(reader *bufio.Reader, method string) (*Response, error) {
	text := textproto.NewReader(reader)
	line, err := text.ReadLine()
	if err != nil {
		return nil, unexpectedEnd(err)
	}
	version, status, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, headerError(err)
	}
	response := &Response{Status: status, Header: http.Header(header)}
	if err := CheckHeader(response.Header); err != nil {
		return nil, err
	}
	response.Close = closes(version, response.Header)
	if err := response.frame(reader, method, version); err != nil {
		return nil, err
	}
	return response, nil
}

// parseStatusLine returns the version and the status of a status line.
func parseStatusLine(line string) (version, int, error) {
	protocol, rest, _ := strings.Cut(line, " ")
	major, minor, ok := http.ParseHTTPVersion(protocol)
	if !ok || major != 1 {
		return 0, 0, fmt.Errorf("%w: no known version", ErrMalformed)
	}
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.ParseUint(code, 10, 16) // accepts no sign
	if err != nil || len(code) != len("200") || status < minStatus || status > maxStatus {
		return 0, 0, fmt.Errorf("%w: no known status", ErrMalformed)
	}
	if status == http.StatusSwitchingProtocols {
		return 0, 0, fmt.Errorf("%w: status %d without an upgrade", ErrMalformed, status)
	}
	if minor == 0 {
		return version10, int(status), nil
	}
	return version11, int(status), nil
}

// frame sets the body, and where it ends.
func (r *Response) frame(reader *bufio.Reader, method string, version version) error {
	length, err := parseLength(r.Header[fieldLength])
	if err != nil {
		return err
	}
	r.Length = -1
	codings := r.Header[fieldTransferEncoding]
	if len(codings) > 0 {
		// Both fields together are a sign of two readers that disagree about the end of a message.
		if version == version10 || length >= 0 || len(codings) > 1 || !strings.EqualFold(codings[0], codingChunked) {
			return fmt.Errorf("%w: unknown transfer encoding, or one beside a length or in HTTP/1.0", ErrMalformed)
		}
	}
	switch {
	case method == http.MethodHead, r.Interim(), r.Status == http.StatusNoContent, r.Status == http.StatusNotModified:
		r.Body, r.Length = http.NoBody, 0
	case len(codings) > 0:
		r.Body = &chunkedBody{reader: reader, chunks: httputil.NewChunkedReader(reader)}
	case length >= 0:
		r.Body, r.Length = &lengthBody{reader: reader, remaining: length}, length
	default:
		r.Body, r.Close, r.Unframed = reader, true, true
	}
	return nil
}

// parseLength returns the length that the fields state, -1 if there are none. All have to state the same one.
func parseLength(values []string) (int64, error) {
	length := int64(-1)
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			stated, err := strconv.ParseUint(textproto.TrimString(part), 10, 63)
			if err != nil || length >= 0 && int64(stated) != length {
				return 0, fmt.Errorf("%w: lengths that differ or are no numbers", ErrMalformed)
			}
			length = int64(stated)
		}
	}
	return length, nil
}

// closes reports whether the sender closes the connection after the message.
func closes(version version, header http.Header) bool {
	if version == version10 {
		return !hasOption(header, optionKeep)
	}
	return hasOption(header, optionClose)
}

func hasOption(header http.Header, option string) bool {
	for _, value := range header[fieldConnection] {
		for word := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(textproto.TrimString(word), option) {
				return true
			}
		}
	}
	return false
}

// Read implements io.Reader.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.reader.Read(p)
	b.remaining -= int64(n)
	if b.remaining > 0 {
		err = unexpectedEnd(err)
	}
	return n, err
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := b.readTrailer(); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

// readTrailer reads the trailer and the empty line that ends the body. A trailer has to fit into the buffer.
func (b *chunkedBody) readTrailer() error {
	const emptyLine = "\r\n"
	start, err := b.reader.Peek(len(emptyLine))
	if err != nil {
		return unexpectedEnd(err)
	}
	if string(start) == emptyLine {
		_, err = b.reader.Discard(len(emptyLine))
		return err
	}
	if err := b.awaitTrailer(); err != nil {
		return err
	}
	header, err := textproto.NewReader(b.reader).ReadMIMEHeader()
	if err != nil {
		return headerError(err)
	}
	return CheckHeader(http.Header(header))
}

// awaitTrailer waits until the whole trailer is in the buffer.
func (b *chunkedBody) awaitTrailer() error {
	for size := 4; ; size++ {
		text, err := b.reader.Peek(max(size, b.reader.Buffered()))
		if bytes.Contains(text, []byte("\r\n\r\n")) {
			return nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return fmt.Errorf("%w: trailer of more than %d bytes", ErrMalformed, len(text))
		}
		if err != nil {
			return unexpectedEnd(err)
		}
		size = max(size, len(text))
	}
}

// headerError returns the error for header lines that could not be read.
func headerError(err error) error {
	if protocolErr := textproto.ProtocolError(""); errors.As(err, &protocolErr) {
		return fmt.Errorf("%w: line that is no field", ErrMalformed) // the text of err quotes the line
	}
	return unexpectedEnd(err)
}

// unexpectedEnd returns err, or an unexpected end in place of the end of the stream.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
