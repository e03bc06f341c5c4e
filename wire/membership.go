package wire

var membershipDecoders = map[Type]func() Message{}
