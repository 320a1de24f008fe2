package runner

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"filberthaven.example/loader"
	"filberthaven.example/platform/imitator"
	"github.com/frankban/quicktest"
)

const minimalSettings = "[vm]\nid = v\ncentre = a\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\ninternal = 127.0.0.1:3\n%s\n[platform]\nstore = 127.0.0.1:4\n%s"

func loadSettings(c *quicktest.C, vm, rest string) (*Settings, error) {
	path := filepath.Join(c.TempDir(), "entry.ini")
	c.Assert(os.WriteFile(path, fmt.Appendf(nil, minimalSettings, vm, rest), 0o600), quicktest.IsNil)
	return LoadSettings(path)
}

// TestDefaultLimits guards against defaults that ordinary callers of the smallest VM reach:
// some hundred connections, with a body of the largest size each.
func TestDefaultLimits(t *testing.T) {
	for _, vm := range []string{"", "memory = 144MiB\nfiles = 3075", "memory = 184MiB\nfiles = 4100", "memory = 536MiB\nfiles = 10250"} {
		c := quicktest.New(t)
		settings, err := loadSettings(c, vm, "")
		c.Assert(err, quicktest.IsNil)
		limits := settings.limits
		c.Check(limits.connections >= 600, quicktest.IsTrue)
		c.Check(limits.peers >= 33*peerConnections, quicktest.IsTrue)
		c.Check(limits.bodies >= 100*256<<10, quicktest.IsTrue)
	}
}

// TestInvalidLimits guards against errors that don't tell where the fault is.
func TestInvalidLimits(t *testing.T) {
	for _, key := range []string{"bodies", "connections", "peers", "stall", "read"} {
		c := quicktest.New(t)
		_, err := loadSettings(c, "", "[limits]\n"+key+" = 0\n")
		var faults loader.Errors
		c.Assert(err, quicktest.ErrorAs, &faults)
		c.Assert(faults, quicktest.HasLen, 1)
		c.Check(faults[0].Line(), quicktest.Equals, 11)
		c.Check(faults[0].Key(), quicktest.Equals, key)
	}
}

// TestUnknownKeyBeforeBody guards against reading bodies at the owner that it refuses in any
// case.
func TestUnknownKeyBeforeBody(t *testing.T) {
	cl := newCluster(t, 1)
	cl.waitFor(waitTimeout, "an owner", func() bool {
		status, _ := cl.call(0, "GET", imitator.QueuePrefix, imitator.APIKey, "")
		return status == 200
	})
	for _, test := range []struct{ path, want string }{{imitator.QueuePrefix + "00000000000000aa", "401"}, {"/other", "404"}} {
		conn, err := net.Dial("tcp", cl.vms[0].address)
		cl.Assert(err, quicktest.IsNil)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 1000\r\n\r\n", test.path, imitator.Host)
		cl.Assert(err, quicktest.IsNil)
		status := make([]byte, len("HTTP/1.1 401"))
		cl.Assert(conn.SetReadDeadline(time.Now().Add(waitTimeout)), quicktest.IsNil)
		_, err = conn.Read(status)
		cl.Assert(err, quicktest.IsNil)
		cl.Check(string(status), quicktest.Equals, "HTTP/1.1 "+test.want)
	}
}
