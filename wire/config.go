package wire

var configDecoders = map[Type]func() Message{}
