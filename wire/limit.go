package wire

var limitDecoders = map[Type]func() Message{}
