package wire

// The numbers of the messages that spread the configuration.
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

// ConfigRecord is an operator's record, with its spec as it was written.
type ConfigRecord struct {
	Schema   int    `cbor:"1,keyasint"`
	Kind     string `cbor:"2,keyasint"`
	Name     string `cbor:"3,keyasint"`
	Revision int64  `cbor:"4,keyasint,omitempty"`
	Deleted  bool   `cbor:"5,keyasint,omitempty"`
	Spec     []byte `cbor:"6,keyasint,omitempty"`
}

// ConfigChange brings one accepted change, or one part of it where it is too
// large for a frame.
type ConfigChange struct {
	Revision int64          `cbor:"1,keyasint"`
	Part     int            `cbor:"2,keyasint,omitempty"`
	Parts    int            `cbor:"3,keyasint"`
	Records  []ConfigRecord `cbor:"4,keyasint"`
}

// ConfigPull asks for the changes after a revision.
type ConfigPull struct {
	After int64 `cbor:"1,keyasint"`
}

// SnapshotOffer answers a ConfigPull whose changes are no longer kept.
type SnapshotOffer struct {
	Revision int64 `cbor:"1,keyasint"`
	Buckets  int   `cbor:"2,keyasint"`
}

// SnapshotPull asks for one bucket of all records.
type SnapshotPull struct {
	Bucket int `cbor:"1,keyasint"`
}

// SnapshotPart brings a part of a bucket: compressed, encoded ConfigRecords as
// they were at a revision.
type SnapshotPart struct {
	Revision int64  `cbor:"1,keyasint"`
	Bucket   int    `cbor:"2,keyasint"`
	Part     int    `cbor:"3,keyasint,omitempty"`
	Parts    int    `cbor:"4,keyasint"`
	Data     []byte `cbor:"5,keyasint"`
}

// EncodeRecords returns the encoding of records inside a snapshot's bucket.
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
