package cases

// Response is a response with a malformed head or trailer. A front end may need further fields in it.
type Response struct {
	Name    string
	Interim string // whole interim response before it, with its empty line
	Status  string // status line without its end, empty for that of a success
	Fields  string // lines of the head
	Trailer string // lines of the trailer; the body is then in chunks
}

// Responses are the malformed responses.
var Responses = []Response{
	{Name: "status 000", Status: "HTTP/1.1 000 Odd"},
	{Name: "status 099", Status: "HTTP/1.1 099 Odd"},
	{Name: "status +20", Status: "HTTP/1.1 +20 Odd"},
	{Name: "status -20", Status: "HTTP/1.1 -20 Odd"},
	{Name: "status 20", Status: "HTTP/1.1 20 Odd"},
	{Name: "status 2000", Status: "HTTP/1.1 2000 Odd"},
	{Name: "status 2x0", Status: "HTTP/1.1 2x0 Odd"},
	{Name: "status 600", Status: "HTTP/1.1 600 Odd"},
	{Name: "status 700", Status: "HTTP/1.1 700 Odd"},
	{Name: "status 999", Status: "HTTP/1.1 999 Odd"},
	{Name: "status 101", Status: "HTTP/1.1 101 Switching Protocols"},
	{Name: "no status", Status: "HTTP/1.1"},
	{Name: "version 0.9", Status: "HTTP/0.9 200 OK"},
	{Name: "version 2.0", Status: "HTTP/2.0 200 OK"},
	{Name: "other protocol", Status: "ICY 200 OK"},
	{Name: "interim status 000", Interim: "HTTP/1.1 000 Odd\r\n\r\n"},
	{Name: "interim status 099", Interim: "HTTP/1.1 099 Odd\r\n\r\n"},
	{Name: "interim status 101", Interim: "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
	{Name: "interim with a blank in a name", Interim: "HTTP/1.1 103 Early Hints\r\nOdd name: x\r\n\r\n"},
	{Name: "interim with a blank before the colon", Interim: "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\n"},
	{Name: "blank in a name", Fields: "Odd name: x\r\n"},
	{Name: "blank before the colon", Fields: "Odd : x\r\n"},
	{Name: "tab before the colon", Fields: "Odd\t: x\r\n"},
	{Name: "control byte in a name", Fields: "Od\x01d: x\r\n"},
	{Name: "NUL in a name", Fields: "Od\x00d: x\r\n"},
	{Name: "DEL in a name", Fields: "Od\x7fd: x\r\n"},
	{Name: "CR in a name", Fields: "Od\rd: x\r\n"},
	{Name: "byte above ASCII in a name", Fields: "Od\xe4d: x\r\n"},
	{Name: "brackets in a name", Fields: "Odd[0]: x\r\n"},
	{Name: "empty name", Fields: ": x\r\n"},
	{Name: "line without a colon", Fields: "Odd\r\n"},
	{Name: "control byte in a value", Fields: "Odd: a\x01b\r\n"},
	{Name: "NUL in a value", Fields: "Odd: a\x00b\r\n"},
	{Name: "CR in a value", Fields: "Odd: a\rb\r\n"},
	{Name: "other length with a blank before the colon", Fields: "Content-Length : 2\r\n"},
	{Name: "chunks with a blank before the colon", Fields: "Transfer-Encoding : chunked\r\n"},
	{Name: "two lengths", Fields: "Content-Length: 2\r\n"},
	{Name: "length with a sign", Fields: "Content-Length: +4\r\n"},
	{Name: "unknown transfer encoding", Fields: "Transfer-Encoding: rot13\r\n"},
	{Name: "chunks twice", Fields: "Transfer-Encoding: chunked, chunked\r\n"},
	{Name: "blank in a name of the trailer", Trailer: "Odd name: x\r\n"},
	{Name: "control byte in a name of the trailer", Trailer: "Od\x01d: x\r\n"},
	{Name: "control byte in a value of the trailer", Trailer: "Odd: a\x01b\r\n"},
}

// Text returns the response with further fields and the body "body".
func (r *Response) Text(fields string) string {
	status := r.Status
	if status == "" {
		status = "HTTP/1.1 200 OK"
	}
	start := r.Interim + status + "\r\n" + r.Fields + fields
	if r.Trailer != "" {
		return start + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + r.Trailer + "\r\n"
	}
	return start + "Content-Length: 4\r\n\r\nbody"
}
