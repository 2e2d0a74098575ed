// Recognizes two responses that were read as one.
//
// An endpoint may send a part of a response that belongs to no request. If that
// part ends within a line of its head, the next response continues the line:
// both parse as a single response with the status of the first and the fields
// of the second.

#ifndef BLUEBELL_HTTP_EMBEDDED_STATUS_LINE_H_
#define BLUEBELL_HTTP_EMBEDDED_STATUS_LINE_H_

#include "bluebell/http/http_message.h"

namespace bluebell {

// True if the reason phrase or the value of a field holds a status line. Such a
// response states nothing about any request.
bool HasEmbeddedStatusLine(const http_response& response);

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_EMBEDDED_STATUS_LINE_H_
