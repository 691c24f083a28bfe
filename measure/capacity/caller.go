package capacity

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/httpfield"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/pkg/errors"
)

// requestLoop sends requests on one connection, each after the response to the
// previous one, at one worker's share of requestsPerSecond.
func (c *cluster) requestLoop(b *bench, worker int, d time.Duration) (requests int64, err error) {
	conn, err := wire.DialTCP(b.ctx, c.url)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	sequence := worker
	const interval = requestWorkers * time.Second / requestsPerSecond
	for deadline := time.Now().Add(d); time.Now().Before(deadline); requests++ {
		started := time.Now()
		_ = conn.SetDeadline(started.Add(20 * time.Second))
		if _, err := conn.Write([]byte(c.requestText(sequence))); err != nil {
			return requests, errors.Wrap(err, "send request")
		}
		sequence += requestWorkers
		if err := readResponse(reader); err != nil {
			return requests, err
		}
		time.Sleep(interval - time.Since(started))
	}
	return requests, nil
}

// readResponse reads one response and checks that it is complete.
func readResponse(reader *bufio.Reader) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if err := httpfield.CheckNames(response.Header); err != nil {
		return errors.Wrap(err, "read response")
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if response.StatusCode != http.StatusOK || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		return errors.Errorf("incomplete response: status %d, body %q", response.StatusCode, body)
	}
	return nil
}
