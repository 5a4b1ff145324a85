#include "review/stand_ins/proxy.h"

#include <poll.h>

#include <array>
#include <utility>

#include "review/stand_ins/server.h"
#include "review/stand_ins/stream.h"

namespace review {

namespace {

constexpr Milliseconds kPause{5};

}  // namespace

Proxy::Proxy(std::string target)
    : target(std::move(target)),
      server(std::make_unique<Server>(
          [this](Stream& near_side) { this->Serve(near_side); })) {}

Proxy::~Proxy() {
  this->is_stopping = true;
  this->server->Stop();
}

std::string Proxy::Address() const { return this->server->Address(); }

void Proxy::Serve(Stream& near_side) {
  const int descriptor = Stream::Connect(this->target);
  if (descriptor < 0) return;
  Stream far_side(descriptor);
  while (!this->is_stopping) {
    if (this->is_cut) {
      Sleep(kPause);
      continue;
    }
    std::array<pollfd, 2> waiting{pollfd{near_side.Descriptor(), POLLIN, 0},
                                  pollfd{far_side.Descriptor(), POLLIN, 0}};
    if (poll(waiting.data(), waiting.size(),
             static_cast<int>(kPause.count())) <= 0)
      continue;
    if (this->is_cut) continue;
    if (waiting[0].revents != 0) {
      if (!far_side.WriteFrom(near_side)) return;
      ++this->requests;
    }
    if (waiting[1].revents != 0 && !near_side.WriteFrom(far_side)) return;
  }
}

}  // namespace review
