package rig2

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Origin is a stand-in origin. Each request that has come whole is passed to Handle, which writes the answer to the connection and reports
// whether the connection goes on.
type Origin struct {
	Instance
	Handle func(r *http.Request, body string, conn *net.TCPConn) (goOn bool)
}

// StartOrigin starts an origin.
func StartOrigin(id, zone string) (*Origin, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &Origin{Instance: Instance{ID: id, Addr: l.Addr().String(), Zone: zone, Kind: "origin", State: "active", Weight: 1}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go o.serve(conn.(*net.TCPConn))
		}
	}()
	return o, nil
}

func (o *Origin) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !o.Handle(r, string(body), conn) {
			return
		}
	}
}
