package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/netlimit"
)

// VerdictHeader is the response header that tells callers whether a request that was
// rejected or failed may have run.
const VerdictHeader = "X-Arbutusmast-Verdict"

// RequestIDHeader is the response header with the request id.
const RequestIDHeader = "X-Request-Id"

// completionRequest holds the fields of an OpenAI-style request that the entry
// reads.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	User      string          `json:"user"`
}

// authenticate returns the caller that the bearer key of a request belongs to.
func (e *Entry) authenticate(r *http.Request) (contract.Caller, *verdict.Error) {
	config := e.options.Fleet.Config()
	if config == nil || !e.options.Fleet.Ready() {
		return contract.Caller{}, verdict.New(verdict.NotRun, verdict.ReasonNotReady,
			"no configuration is in force yet").WithRetryAfter(retryAfterNotReady)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return contract.Caller{}, verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "a bearer key is required")
	}
	caller, ok := config.CallerByKeyDigest(sha256Hex([]byte(strings.TrimSpace(key))))
	if !ok {
		return contract.Caller{}, verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "the bearer key is not known")
	}
	return caller, nil
}

func sha256Hex(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// readBody reads the request body up to MaxBodyBytes.
func (e *Entry) readBody(r *http.Request) ([]byte, *verdict.Error) {
	body, failure := netlimit.ReadBody(r, e.options.MaxBodyBytes)
	switch {
	case failure == nil:
		return body, nil
	case failure.Status == http.StatusServiceUnavailable:
		return nil, verdict.Wrap(failure, verdict.NotRun, verdict.ReasonRequestMemory,
			"read the request body").WithRetryAfter(retryAfterOverloaded)
	}
	return nil, verdict.Wrap(failure, verdict.NotRun, verdict.ReasonInvalid, "read the request body")
}

// httpStatus maps a reason to an HTTP status code.
func httpStatus(reason verdict.Reason) int {
	switch reason {
	case verdict.ReasonUnauthorized:
		return http.StatusUnauthorized
	case verdict.ReasonInvalid, verdict.ReasonKeyRequired:
		return http.StatusBadRequest
	case verdict.ReasonUnknownModel, verdict.ReasonUnknownService, verdict.ReasonStreamLost:
		return http.StatusNotFound
	case verdict.ReasonKeyConflict, verdict.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case verdict.ReasonKeyInProgress, verdict.ReasonKeyUnknownEnd:
		return http.StatusConflict
	case verdict.ReasonRateLimited, verdict.ReasonOverloaded, verdict.ReasonSuspectWaits, verdict.ReasonQueueFull:
		return http.StatusTooManyRequests
	case verdict.ReasonTimeout, verdict.ReasonDeadline:
		return http.StatusGatewayTimeout
	case verdict.ReasonBackendCrashed, verdict.ReasonBackendError, verdict.ReasonConnectionLost:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string            `json:"message"`
	Type         string            `json:"type"`
	Code         verdict.Reason    `json:"code"`
	Verdict      verdict.Verdict   `json:"verdict"`
	RetryAfterMS int64             `json:"retry_after_ms,omitempty"`
	RequestID    message.RequestID `json:"request_id,omitempty"`
}

func newErrorBody(id message.RequestID, err *verdict.Error) errorBody {
	errorType := "server_error"
	if status := httpStatus(err.Reason); status < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	return errorBody{errorDetail{
		Message: err.Message, Type: errorType, Code: err.Reason, Verdict: err.Verdict,
		RetryAfterMS: err.RetryAfter.Milliseconds(), RequestID: id,
	}}
}

// writeError writes the error response of a request that was rejected or failed
// before its response began.
func writeError(w http.ResponseWriter, id message.RequestID, err *verdict.Error) {
	setErrorHeader(w, id, err)
	w.WriteHeader(httpStatus(err.Reason))
	_ = json.NewEncoder(w).Encode(newErrorBody(id, err))
}

// rejectRequest is like writeError for a request whose body may not have been received.
func rejectRequest(w http.ResponseWriter, r *http.Request, id message.RequestID, err *verdict.Error) {
	setErrorHeader(w, id, err)
	// An error body consists of texts and numbers, so it can be encoded.
	body, _ := json.Marshal(newErrorBody(id, err))
	netlimit.Answer(w, r, httpStatus(err.Reason), append(body, '\n'))
}

func setErrorHeader(w http.ResponseWriter, id message.RequestID, err *verdict.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(VerdictHeader, err.Verdict.String())
	if id != "" {
		h.Set(RequestIDHeader, string(id))
	}
	if err.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
	}
	setWriteDeadline(w)
}
