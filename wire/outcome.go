package wire

var outcomeDecoders = map[Type]func() Message{}
