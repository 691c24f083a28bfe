// Package httpclient holds what clients of backend servers need beyond net/http: a transport that uses a
// connection for each request, and a check whether the end of a body is the end of the answer.
package httpclient

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// EndsWithConnection reports whether a response has neither a length nor chunks, so that its body ends where
// the server closes the connection.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// RequireWrittenRequest makes the end of a body that ends with its connection an error if the request was not
// written in full. The kernel reports a broken connection once. If the write of the request gets that error,
// the following read returns what arrived before and then an ordinary end.
//
// At the end of the body, writeError is called for the result of the write. It waits for the write to end.
func RequireWrittenRequest(response *http.Response, writeError func() error) {
	if EndsWithConnection(response) {
		response.Body = &checkedBody{ReadCloser: response.Body, writeError: writeError}
	}
}

// checkedBody is a body that ends with its connection.
type checkedBody struct {
	io.ReadCloser
	writeError func() error
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if writeErr := b.writeError(); writeErr != nil {
		return n, errors.Wrap(writeErr, "the response may be incomplete, the request was not written in full")
	}
	return n, io.EOF
}
