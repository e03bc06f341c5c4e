package wire

var schedDecoders = map[Type]func() Message{}
