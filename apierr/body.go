package apierr

// Body is the JSON error body in OpenAI's format.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the "error" object of an error body.
type BodyError struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	// Ran is not_run, may_have_run or ran.
	Ran string `json:"ran"`
	// Retry reports whether the same request may succeed later or on another host.
	Retry bool `json:"retry"`
}

// Body returns the JSON body of the error response.
func (e *Error) Body() Body {
	row := e.Kind.Definition()
	body := BodyError{Message: e.Message(), Type: row.Type, Code: row.Code, Ran: e.Ran.String(), Retry: row.Retry}
	if e.Param != "" {
		param := e.Param
		body.Param = &param
	}
	return Body{Error: body}
}
