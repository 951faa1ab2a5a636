package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// ScriptedWorker is a ScriptedWorker-in backend: the n-th request gets the n-th script.
type ScriptedWorker struct {
	Mu       sync.Mutex
	Listener net.Listener
	Scripts  []string
	Cut      int
	Arrivals map[string]int
	Conns    []net.Conn
}

func (s *ScriptedWorker) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Correlation-Id")
		s.Mu.Lock()
		s.Arrivals[id]++
		if len(s.Scripts) == 0 {
			s.Mu.Unlock()
			return
		}
		text, cut := strings.ReplaceAll(s.Scripts[0], "IDENTITY", id), s.Cut
		s.Scripts = s.Scripts[1:]
		s.Mu.Unlock()
		cut = cut * len(text) / 256
		conn.Write([]byte(text[:cut]))
		if cut%2 == 1 {
			time.Sleep(time.Millisecond)
		}
		conn.Write([]byte(text[cut:]))
		if strings.Contains(text, "HANG UP") || !strings.Contains(text, "\r\n\r\n") {
			return
		}
	}
}

// HangUp closes all connections, as a backend does with idle ones.
func (s *ScriptedWorker) HangUp() {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	for _, c := range s.Conns {
		c.Close()
	}
	s.Conns = nil
}

func NewScriptedWorker(t testing.TB) *ScriptedWorker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &ScriptedWorker{Listener: ln, Arrivals: map[string]int{}}
	t.Cleanup(func() { ln.Close(); s.HangUp() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.Mu.Lock()
			s.Conns = append(s.Conns, conn)
			s.Mu.Unlock()
			go s.serve(conn)
		}
	}()
	return s
}
