#include "cli/console.hpp"

#define NCURSES_NOMACROS
#include <ncurses.h>
#include <unistd.h>

#include <clocale>
#include <iostream>
#include <memory>
#include <stdexcept>

#include "cli/records.hpp"
#include "config/config.hpp"
#include "console/remote.hpp"
#include "console/screen.hpp"
#include "record/folder.hpp"

namespace tinspan::cli {
namespace {

namespace po = boost::program_options;

constexpr int kKeyTimeoutMs = 100;
constexpr Micros kFirstResponseTimeout{5'000'000};

// Polls folders of records and running gateways, and feeds their records to `timelines`.
class RecordSource {
 public:
  RecordSource(const Values& values, const std::vector<std::string>& folders) {
    if (!folders.empty()) folders_ = std::make_unique<record::FolderReader>(folders);
    if (values.count("from") == 0) return;
    if (values.count("token-file") == 0)
      throw UsageError{"option '--from': expected with --token-file, the operator's token"};
    std::string token = config::ReadFile("--token-file", values["token-file"].as<std::string>());
    while (!token.empty() && (token.back() == '\n' || token.back() == '\r' || token.back() == ' '))
      token.pop_back();
    for (const std::string& url : values["from"].as<std::vector<std::string>>()) {
      constexpr std::string_view kScheme = "http://";
      const auto endpoint = url.starts_with(kScheme)
                                ? net::Endpoint::Parse(std::string_view(url).substr(kScheme.size()))
                                : std::nullopt;
      if (!endpoint)
        throw UsageError{
            "option '--from': expected http:// and an address such as http://127.0.0.1:8080, not '" + url +
            "'"};
      remotes_.push_back(std::make_unique<console::Remote>(loop_, *endpoint, token, timelines));
    }
  }
  // Reads the new records; waits for gateways up to `wait`.
  void Poll(Micros wait) {
    if (folders_) segments_ = folders_->Poll(timelines);
    loop_.Poll(remotes_.empty() ? Micros{0} : wait);
    loop_.Timers().Run(net::Now());
    for (const auto& remote : remotes_) remote->ReleaseClosedConnection();
  }
  // The first gateway's reason for sending no records; empty if there is none.
  std::string Fault() const {
    for (const auto& remote : remotes_) {
      if (!remote->Fault().empty()) return remote->Fault();
    }
    return {};
  }
  // Polls until every gateway has answered once, before the first frame. Throws if a gateway rejects the
  // request or does not answer in time, or if the folders contain no records.
  void PollOnce(const std::vector<std::string>& folders) {
    const Micros deadline = net::Now() + kFirstResponseTimeout;
    while (true) {
      Poll(Micros{20'000});
      bool all_answered = true;
      for (const auto& remote : remotes_) {
        if (remote->IsRejected()) throw std::runtime_error(remote->Fault());
        all_answered = all_answered && remote->HasAnswered();
      }
      if (all_answered) break;
      if (net::Now() > deadline) throw std::runtime_error(Fault().empty() ? "no answer" : Fault());
    }
    if (folders_ && segments_ == 0)
      throw std::runtime_error(folders[0] + ": no records are here (NAME.START.NUMBER.tsrec)");
  }
  timeline::InstanceTimelines timelines;

 private:
  net::EventLoop loop_;
  std::unique_ptr<record::FolderReader> folders_;
  std::size_t segments_ = 0;
  std::vector<std::unique_ptr<console::Remote>> remotes_;
};

class Terminal {
 public:
  Terminal() {
    std::setlocale(LC_ALL, "");
    if (::initscr() == nullptr) throw std::runtime_error("the terminal cannot be used");
    ::cbreak();
    ::noecho();
    ::keypad(stdscr, TRUE);
    ::set_escdelay(25);
    ::curs_set(0);
    ::timeout(kKeyTimeoutMs);
    if (::has_colors()) {
      ::start_color();
      ::use_default_colors();
      ::init_pair(1, COLOR_GREEN, -1);
      ::init_pair(2, COLOR_YELLOW, -1);
      ::init_pair(3, COLOR_RED, -1);
    }
  }
  ~Terminal() { ::endwin(); }
  void Draw(const std::vector<console::Line>& lines) {
    ::erase();
    for (std::size_t i = 0; i < lines.size(); ++i) {
      const int style = Attributes(lines[i].style);
      ::attron(style);
      ::mvaddnstr(static_cast<int>(i), 0, lines[i].text.c_str(), COLS);
      ::attroff(style);
    }
    ::refresh();
  }
  int Key() const {
    switch (const int key = ::getch()) {
      case KEY_UP:
        return console::kUp;
      case KEY_DOWN:
        return console::kDown;
      case KEY_LEFT:
        return console::kLeft;
      case KEY_RIGHT:
        return console::kRight;
      case KEY_PPAGE:
        return console::kPageUp;
      case KEY_NPAGE:
        return console::kPageDown;
      case KEY_ENTER:
      case '\n':
      case '\r':
        return console::kEnter;
      case KEY_BACKSPACE:
      case 127:
      case 8:
        return console::kErase;
      case 27:
        return console::kEscape;
      default:
        return key;
    }
  }

 private:
  static int Attributes(console::Style style) {
    switch (style) {
      case console::Style::kTitle:
        return A_BOLD;
      case console::Style::kChosen:
        return A_REVERSE;
      case console::Style::kSoft:
        return A_DIM;
      case console::Style::kGood:
        return COLOR_PAIR(1);
      case console::Style::kWarn:
        return COLOR_PAIR(2);
      case console::Style::kBad:
        return COLOR_PAIR(3) | A_BOLD;
      case console::Style::kPlain:
        break;
    }
    return A_NORMAL;
  }
};

}  // namespace

void AddConsoleOptions(Options& options) {
  options.add_options()("from", po::value<std::vector<std::string>>()->value_name("URL"),
                        "a running gateway, such as http://127.0.0.1:8080; may be given several times")(
      "token-file", po::value<std::string>()->value_name("FILE"), "the operator's token, for --from")(
      "once", "print one frame as text, and end")(
      "width", po::value<unsigned>()->default_value(100)->value_name("COLUMNS"), "of that frame")(
      "height", po::value<unsigned>()->default_value(40)->value_name("LINES"), "of that frame")(
      "at", po::value<std::string>()->value_name("TIME"), "look at that time, as 2026-12-01T14:03:00Z");
}

int RunConsole(const Values& values, const std::vector<std::string>& arguments) {
  if (arguments.empty() && values.count("from") == 0) throw UsageError{"expected DIR... or --from"};
  console::View view;
  if (values.count("at") > 0) view.held_at = TimeOption(values, "at");
  RecordSource source(values, arguments);
  source.PollOnce(arguments);
  if (values.count("once") > 0) {
    for (const console::Line& line :
         console::RenderFrame(source.timelines, view, net::UnixNow().SinceEpoch(),
                              values["width"].as<unsigned>(), values["height"].as<unsigned>())) {
      std::cout << line.text << "\n";
    }
    return 0;
  }
  if (::isatty(STDIN_FILENO) == 0 || ::isatty(STDOUT_FILENO) == 0)
    throw std::runtime_error("no terminal is here; --once prints a frame");
  Terminal terminal;
  while (!view.should_quit) {
    source.Poll(Micros{0});
    view.source_fault = source.Fault();
    terminal.Draw(console::RenderFrame(source.timelines, view, net::UnixNow().SinceEpoch(),
                                       static_cast<std::size_t>(COLS), static_cast<std::size_t>(LINES)));
    const int key = terminal.Key();
    if (key != ERR) console::HandleKey(view, key, net::UnixNow().SinceEpoch());
  }
  return 0;
}

}  // namespace tinspan::cli
