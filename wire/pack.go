package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// maxPackedBytes bounds a list of upstreams once it is unpacked: ten times that
// of the size to design for.
const maxPackedBytes = 4 << 20

// PackUpstreams compresses a list of upstreams.
func PackUpstreams(list []Upstream) ([]byte, error) {
	raw, err := cbor.Marshal(list)
	if err != nil {
		return nil, err
	}
	return Compress(raw)
}

// UnpackUpstreams returns the list that PackUpstreams has compressed.
func UnpackUpstreams(packed []byte) ([]Upstream, error) {
	raw, err := Decompress(packed, maxPackedBytes)
	if err != nil {
		return nil, err
	}
	var list []Upstream
	err = cbor.Unmarshal(raw, &list)
	return list, err
}

// Compress compresses bytes for a message.
func Compress(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	out, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := out.Write(raw); err != nil {
		return nil, err
	}
	if err := out.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Decompress returns what Compress was given, up to a limit in bytes.
func Decompress(packed []byte, limit int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), limit))
}
