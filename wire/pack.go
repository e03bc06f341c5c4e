package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// maxUnpackedBytes is the maximum size of an uncompressed list of upstreams, in bytes:
// ten times the size of the list at the design scale.
const maxUnpackedBytes = 4 << 20

// PackUpstreams returns the encoded and compressed list of upstreams.
func PackUpstreams(list []Upstream) ([]byte, error) {
	raw, err := cbor.Marshal(list)
	if err != nil {
		return nil, err
	}
	return Compress(raw)
}

// UnpackUpstreams reverses PackUpstreams.
func UnpackUpstreams(packed []byte) ([]Upstream, error) {
	raw, err := Decompress(packed, maxUnpackedBytes)
	if err != nil {
		return nil, err
	}
	var list []Upstream
	err = cbor.Unmarshal(raw, &list)
	return list, err
}

// Compress compresses raw with DEFLATE at its fastest level.
func Compress(raw []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(raw); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// Decompress reverses Compress. It returns at most limit bytes and drops the rest.
func Decompress(packed []byte, limit int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), limit))
}
