// Package httpstatus tells which status codes of responses have a meaning. The syntax of HTTP allows any
// three digits, and servers in trouble send them.
package httpstatus

import "net/http"

// maxFinal is the largest status code that HTTP defines a class for.
const maxFinal = 599

// IsFinal reports whether a status code is that of an answer. Informational ones come before the answer, and
// others are no answer.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxFinal }

// IsSuccess reports whether a status code means that the request succeeded.
func IsSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// IsError reports whether a status code means that the request failed.
func IsError(status int) bool { return status >= http.StatusBadRequest && status <= maxFinal }
