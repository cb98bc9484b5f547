package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports for processes come from a range below the ephemeral ports of the operating system, so that
// neither an outgoing connection nor a listener on any free port takes one between its selection and
// its use. The range is divided into blocks, each used by one test process at a time.
const (
	firstPort  = 15_000
	blockCount = 150
	blockPorts = 100
	// maxBlocks is how many blocks a process uses before it gives ports again.
	maxBlocks = 10
)

// ports gives ports of the blocks that it has claimed.
type ports struct {
	mu sync.Mutex
	// claims are the listeners on the first port of each block, which keep other processes from it.
	claims []net.Listener
	next   int
}

var processPorts ports

// FreeAddress returns a local address on which no process listens. Neither this process nor another
// one that calls FreeAddress gets the same address again before long.
func FreeAddress() (string, error) { return processPorts.free() }

func (p *ports) free() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range maxBlocks * blockPorts {
		if p.next%blockPorts == 0 && p.next/blockPorts == len(p.claims) {
			if err := p.claim(); err != nil {
				return "", err
			}
		}
		first := p.claims[p.next/blockPorts].Addr().(*net.TCPAddr).Port
		address := localAddress(first + p.next%blockPorts)
		p.next = (p.next + 1) % (maxBlocks * blockPorts)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("standin: no free port in the blocks of this process")
}

// claim adds a block that no other process has claimed.
func (p *ports) claim() error {
	for _, block := range rand.Perm(blockCount) {
		if l, err := net.Listen("tcp", localAddress(firstPort+block*blockPorts)); err == nil {
			p.claims = append(p.claims, l)
			return nil
		}
	}
	return errors.New("standin: no free block of ports")
}

func localAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
