#include "drivers/boost_log_sink.h"

#include "drivers/event_text.h"

#include <atomic>

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

namespace boragelug
{

namespace
{

using Backend = boost::log::sinks::text_ostream_backend;
using Frontend = boost::log::sinks::synchronous_sink<Backend>;

constexpr double linesAtOnce = 100;
constexpr double linesPerSecond = 20;

/// Tells the sinks of one process apart, since Boost.Log offers each record to all of them.
std::uint64_t nextSinkNumber()
{
    static std::atomic<std::uint64_t> last = 0;
    return ++last;
}

} // namespace

struct BoostLogSink::Impl
{
    boost::log::sources::logger logger;
    boost::shared_ptr<Frontend> frontend;
};

BoostLogSink::BoostLogSink(const std::shared_ptr<std::ostream> &stream, EventSeverity least)
    : impl_(std::make_unique<Impl>())
    , least_(least)
{
    const std::uint64_t number = nextSinkNumber();
    auto backend = boost::make_shared<Backend>();
    // The deleter keeps the caller's pointer alive and does nothing else.
    backend->add_stream(boost::shared_ptr<std::ostream>(stream.get(), [stream](std::ostream *) {}));
    backend->auto_flush(true);
    impl_->frontend = boost::make_shared<Frontend>(backend);
    impl_->frontend->set_filter(boost::log::expressions::attr<std::uint64_t>("Sink") == number);
    impl_->frontend->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    impl_->logger.add_attribute("Sink", boost::log::attributes::constant<std::uint64_t>(number));
    boost::log::core::get()->add_sink(impl_->frontend);
}

BoostLogSink::~BoostLogSink()
{
    boost::log::core::get()->remove_sink(impl_->frontend);
}

void BoostLogSink::write(const Event &event, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (severityOf(event.number) < least_) {
        return;
    }
    auto &limit =
        limits_.try_emplace(event.number, LineLimit { TokenBucket(linesPerSecond, linesAtOnce, now), 0 }).first->second;
    if (!limit.bucket.take(1, now)) {
        ++limit.leftOut;
        return;
    }
    std::string line = eventLine(event);
    if (limit.leftOut > 0) {
        line += " left_out=" + std::to_string(limit.leftOut);
        limit.leftOut = 0;
    }
    BOOST_LOG(impl_->logger) << line;
}

void BoostLogSink::setLeast(EventSeverity least)
{
    const std::lock_guard lock(mutex_);
    least_ = least;
}

} // namespace boragelug
