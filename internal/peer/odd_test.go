package peer

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/jasminebay/jasminebay/internal/peer/peerpb"
)

// TestOddFrames checks that frames which no process sends give an error: groups nested a million deep, a
// size beyond the limit, and text that is not UTF-8.
func TestOddFrames(t *testing.T) {
	deep := bytes.Repeat([]byte{0x0b}, 1_000_000)
	text, err := proto.Marshal(helloFrame(&peerpb.Hello{Id: "entry-1"}))
	if err != nil {
		t.Fatal(err)
	}
	text = bytes.ReplaceAll(text, []byte("entry-1"), []byte("entry-\xff"))
	for name, frame := range map[string][]byte{
		"deep":  append(binary.AppendUvarint(nil, uint64(len(deep))), deep...),
		"large": binary.AppendUvarint(nil, 1<<63),
		"text":  append(binary.AppendUvarint(nil, uint64(len(text))), text...),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			defer near.Close()
			go func() {
				_, _ = far.Write(frame)
				_ = far.Close()
			}()
			err := newStream(near).ReceiveMessage(&peerpb.Frame{})
			t.Log(err)
			is.True(err != nil)
		})
	}
}
