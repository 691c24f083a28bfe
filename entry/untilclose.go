package entry

import (
	"context"
	"net"
	"net/http"

	"arbutusmast.example/arbutusmast/core/message"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// WithConn returns the context of the requests on a caller's connection. It is for http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// setLinger sets for how many seconds the kernel sends what is left when the connection of a request is closed.
// With 0 it resets the connection, with -1 it sends all.
func setLinger(r *http.Request, seconds int) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	if tcp, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(seconds)
	}
}

// writeUntilClose writes a body that ends with its connection. If not all of it is written, because the entry is
// killed or the caller reads too slowly, the connection is reset.
func writeUntilClose(w http.ResponseWriter, r *http.Request, reply *message.ForwardReply) {
	setLinger(r, 0)
	w.Header().Set("Transfer-Encoding", "identity")
	w.WriteHeader(reply.Status)
	if _, err := w.Write(reply.Body); err == nil && http.NewResponseController(w).Flush() == nil {
		setLinger(r, -1)
	}
}
