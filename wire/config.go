package wire

// The type numbers of the messages that distribute the configuration.
const (
	TypeConfigChange  Type = 200
	TypeConfigPull    Type = 201
	TypeSnapshotOffer Type = 202
	TypeSnapshotPull  Type = 203
	TypeSnapshotPart  Type = 204
)

var configDecoders = map[Type]func() Message{
	TypeConfigChange:  func() Message { return &ConfigChange{} },
	TypeConfigPull:    func() Message { return &ConfigPull{} },
	TypeSnapshotOffer: func() Message { return &SnapshotOffer{} },
	TypeSnapshotPull:  func() Message { return &SnapshotPull{} },
	TypeSnapshotPart:  func() Message { return &SnapshotPart{} },
}

// ConfigRecord is an operator's record. Spec holds the bytes that the operator wrote,
// unchanged.
type ConfigRecord struct {
	Schema   int    `cbor:"1,keyasint"`
	Kind     string `cbor:"2,keyasint"`
	Name     string `cbor:"3,keyasint"`
	Revision int64  `cbor:"4,keyasint,omitempty"`
	Deleted  bool   `cbor:"5,keyasint,omitempty"`
	Spec     []byte `cbor:"6,keyasint,omitempty"`
}

// ConfigChange carries one accepted change, or one part of a change that is too
// large for a single frame.
type ConfigChange struct {
	Revision int64          `cbor:"1,keyasint"`
	Part     int            `cbor:"2,keyasint,omitempty"`
	Parts    int            `cbor:"3,keyasint"`
	Records  []ConfigRecord `cbor:"4,keyasint"`
}

// ConfigPull requests the changes after a revision.
type ConfigPull struct {
	After int64 `cbor:"1,keyasint"`
}

// SnapshotOffer answers a ConfigPull for changes that the sender no longer retains.
type SnapshotOffer struct {
	Revision int64 `cbor:"1,keyasint"`
	Buckets  int   `cbor:"2,keyasint"`
}

// SnapshotPull requests one bucket of a snapshot of all records.
type SnapshotPull struct {
	Bucket int `cbor:"1,keyasint"`
}

// SnapshotPart carries one part of a bucket. The joined parts are the encoded and
// compressed ConfigRecords of the bucket at a revision.
type SnapshotPart struct {
	Revision int64  `cbor:"1,keyasint"`
	Bucket   int    `cbor:"2,keyasint"`
	Part     int    `cbor:"3,keyasint,omitempty"`
	Parts    int    `cbor:"4,keyasint"`
	Data     []byte `cbor:"5,keyasint"`
}

// EncodeRecords encodes the records of a snapshot bucket.
func EncodeRecords(records []ConfigRecord) ([]byte, error) {
	return encMode.Marshal(records)
}

// DecodeRecords reverses EncodeRecords.
func DecodeRecords(raw []byte) ([]ConfigRecord, error) {
	var records []ConfigRecord
	err := decMode.Unmarshal(raw, &records)
	return records, err
}

// WireType implements Message.
func (*ConfigChange) WireType() Type { return TypeConfigChange }

// WireType implements Message.
func (*ConfigPull) WireType() Type { return TypeConfigPull }

// WireType implements Message.
func (*SnapshotOffer) WireType() Type { return TypeSnapshotOffer }

// WireType implements Message.
func (*SnapshotPull) WireType() Type { return TypeSnapshotPull }

// WireType implements Message.
func (*SnapshotPart) WireType() Type { return TypeSnapshotPart }
