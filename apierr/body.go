package apierr

// Body is the JSON error body in the shape that OpenAI client libraries read.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the inside of an error body.
type BodyError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	// Ran is not_run, may_have_run or ran.
	Ran string `json:"ran"`
	// Retry says whether the same request may succeed later or elsewhere.
	Retry bool `json:"retry"`
}

// Body returns the error as it is written to a caller.
func (e *Error) Body() Body {
	a := e.Kind.Definition()
	b := BodyError{Message: e.Message(), Type: a.Type, Code: a.Code, Ran: e.Ran.String(), Retry: a.Retry}
	if e.Param != "" {
		param := e.Param
		b.Param = &param
	}
	return Body{Error: b}
}
