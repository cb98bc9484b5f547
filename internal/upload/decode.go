package upload

import "sync"

// smallBytes is the size up to which bodies are decoded at the same time.
const smallBytes = 16 << 10

// Decoder decodes bodies, of which a large one takes many times its size while it is decoded. It decodes
// one of them at a time. Its zero value is ready for use.
type Decoder struct{ mu sync.Mutex }

// Decode calls f, which decodes a body.
func (d *Decoder) Decode(body []byte, f func([]byte) error) error {
	if len(body) > smallBytes {
		d.mu.Lock()
		defer d.mu.Unlock()
	}
	return f(body)
}
