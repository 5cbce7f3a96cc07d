#include "briarhitch/http/SharedBody.h"

#include <utility>

namespace briarhitch {

SharedBody::SharedBody(std::string text, MemoryCharge charge)
{
    if (!text.empty())
        content_ = std::make_shared<const Content>(Content { std::move(text), std::move(charge) });
}

SharedBody::SharedBody(const char* text)
    : SharedBody(std::string(text))
{
}

const std::string& SharedBody::text() const
{
    static const std::string none;
    return content_ ? content_->text : none;
}

}
