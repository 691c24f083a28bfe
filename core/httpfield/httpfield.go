// Package httpfield tells whether the fields in the head of a response can be trusted.
package httpfield

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// CheckNames returns an error if a name of a field is no token (RFC 9110, 5.1). net/http accepts names that hold
// blanks, such as "Content-Length ". Such a line may be the one that frames the body, so nothing in the head
// counts.
func CheckNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("the response has the invalid field name %q", name)
		}
	}
	return nil
}
