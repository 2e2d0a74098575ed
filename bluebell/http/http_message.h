// The HTTP messages that the protocol mappings read and write.

#ifndef BLUEBELL_HTTP_HTTP_MESSAGE_H_
#define BLUEBELL_HTTP_HTTP_MESSAGE_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace bluebell {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_HTTP_MESSAGE_H_
