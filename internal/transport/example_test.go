package transport_test

import (
	"fmt"
	"io"
	"net"

	"hollyyoke.example/hollyyoke/internal/eventloop"
	"hollyyoke.example/hollyyoke/internal/transport"
)

// echo sends back the first bytes that it receives, and closes the connection.
type echo struct{ pool *transport.Pool }

func (e echo) OnData(c *transport.Conn, b *transport.Buffer) {
	c.Write(b.Bytes())
	e.pool.Put(b)
	c.CloseGracefully()
}

func (e echo) OnClosed(*transport.Conn, error) {}

// A server accepts connections and handles their events on the loop's goroutine.
func ExampleEngine() {
	loop := eventloop.New()
	engine, err := transport.NewEngine(loop, 100)
	if err != nil {
		fmt.Println(err)
		return
	}
	newHandler := func(*transport.Conn) transport.Handler { return echo{&engine.Pool} }
	acceptor, err := engine.Listen("127.0.0.1:0", transport.AcceptOptions{NewHandler: newHandler, Limit: 10})
	if err != nil {
		fmt.Println(err)
		return
	}
	go loop.Run()
	defer loop.Stop()
	defer engine.StopListening()

	client, err := net.Dial("tcp", acceptor.String())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	fmt.Fprint(client, "hello")
	answer, err := io.ReadAll(client)
	fmt.Printf("%s %v\n", answer, err)
	// Output: hello <nil>
}
