#include "front/test_support.h"

#include <libwebsockets.h>
#include <netinet/in.h>
#include <openssl/sha.h>

struct fakes fakes;

/* ---- control ---- */

static void
finish_admission(struct base_call *call, void *task_state)
{
    auto *admission = (struct control_admission *)call;
    admission->answered(admission, task_state);
}

static void
drop_admission(struct base_call *call)
{
    control_admission_free((struct control_admission *)call);
}

static const struct base_call_ops ADMISSION_OPS = {nullptr, finish_admission,
                                                   drop_admission};

struct control_admission *
control_admission_new(const char *server, enum contracts_class class_)
{
    struct control_admission *admission = g_new0(struct control_admission, 1);
    g_strlcpy(admission->server, server, sizeof(admission->server));
    admission->class_ = class_;
    return admission;
}

void
control_admission_free(struct control_admission *admission)
{
    g_free(admission);
}

static void
answer_admission(struct control_admission *admission)
{
    admission->answer = CONTRACTS_GRANTED;
    admission->is_local_share = fakes.unreachable.count(admission->server) > 0;
    if (admission->is_local_share ||
        (fakes.is_busy && admission->wait_ms == 0)) {
        admission->answer = CONTRACTS_BUSY;
    }
    else if (!fakes.answers.empty()) {
        admission->answer = fakes.answers.front();
        fakes.answers.pop_front();
    }
    if (admission->answer == CONTRACTS_GRANTED) {
        admission->contract = fakes.next_contract++;
        fakes.held[admission->contract] = admission->server;
    }
    admission->reduction = fakes.reduction;
    if (!admission->is_local_share) {
        admission->load.window = 16;
        admission->load.online = fakes.is_busy ? 16 : 0;
    }
    base_call_reply(&admission->call);
}

void
control_admission_send(struct control *control,
                       struct control_admission *admission,
                       struct base_task *from,
                       void (*answered)(struct control_admission *, void *))
{
    std::lock_guard<std::mutex> guard(fakes.lock);
    admission->call.ops = &ADMISSION_OPS;
    admission->call.from = from;
    admission->answered = answered;
    fakes.admissions.push_back({admission->server, admission->class_,
                                admission->wait_ms, admission->work_ms,
                                admission->earlier_ms});
    if (fakes.delays_admissions) {
        fakes.delayed_admissions.push_back(admission);
        return;
    }
    answer_admission(admission);
}

void
control_release(struct control *control, uint64_t contract,
                const struct contracts_outcome *outcome)
{
    std::lock_guard<std::mutex> guard(fakes.lock);
    auto found = fakes.held.find(contract);
    if (found == fakes.held.end()) {
        fakes.n_bad_releases++;
        return;
    }
    fakes.released.emplace_back(found->second, *outcome);
    fakes.held.erase(found);
}

void
control_shrink(struct control *control, uint64_t contract, int slots,
               const struct contracts_outcome *outcome)
{
    std::lock_guard<std::mutex> guard(fakes.lock);
    if (slots == 1 && fakes.held.count(contract) == 1) {
        fakes.late_first_token_us.push_back(outcome->first_token_us);
        return;
    }
    fakes.n_bad_releases++;
}

/* Crashes are 1,000 ms apart, each of another server. */
int64_t
control_prompt_admit(struct control *control,
                     const struct quarantine_parts *parts)
{
    std::lock_guard<std::mutex> guard(fakes.lock);
    return quarantine_admit(&fakes.prompts.quarantine, parts,
                            fakes.prompts.now_ms);
}

int64_t
control_prompt_blocked_ms(struct control *control,
                          const struct quarantine_parts *parts)
{
    std::lock_guard<std::mutex> guard(fakes.lock);
    return quarantine_blocked_ms(&fakes.prompts.quarantine, parts,
                                 fakes.prompts.now_ms);
}

int
control_prompt_suspicion(struct control *control,
                         const struct quarantine_parts *parts)
{
    std::lock_guard<std::mutex> guard(fakes.lock);
    return quarantine_suspicion(&fakes.prompts.quarantine, parts);
}

void
control_prompt_crashed(struct control *control,
                       const struct quarantine_parts *parts,
                       const char *server)
{
    std::lock_guard<std::mutex> guard(fakes.lock);
    fakes.prompts.now_ms += 1000;
    quarantine_note_crash(&fakes.prompts.quarantine, parts,
                          (uint64_t)fakes.prompts.now_ms,
                          fakes.prompts.now_ms);
}

void
control_prompt_answered(struct control *control,
                        const struct quarantine_parts *parts)
{
    std::lock_guard<std::mutex> guard(fakes.lock);
    quarantine_note_answer(&fakes.prompts.quarantine, parts,
                           fakes.prompts.now_ms);
}

void
control_note_response(struct control *control, const char *server,
                      const struct control_response *response)
{
    std::lock_guard<std::mutex> guard(fakes.lock);
    fakes.responses.emplace_back(
        server,
        std::string(response->limit != nullptr ? response->limit : "-") +
            (response->is_leaving ? " leaving" : ""));
}

bool
control_rate_allow(struct control *control, const char *operator_name,
                   int count)
{
    fakes.rate_requests.push_back(operator_name);
    return fakes.is_rate_allowed;
}

int64_t
control_rate_retry_ms(struct control *control, const char *operator_name)
{
    return fakes.rate_retry_ms;
}

bool
control_has_newest_config(struct control *control)
{
    return fakes.is_ready;
}

bool
control_is_ready(struct control *control)
{
    return fakes.is_ready;
}

static void
finish_status(struct base_call *call, void *task_state)
{
    auto *status = (struct control_status *)call;
    status->answered(status, task_state);
    g_free(status);
}

static const struct base_call_ops STATUS_OPS = {nullptr, finish_status,
                                                nullptr};

void
control_status_send(struct control *control, struct base_task *from,
                    void *context,
                    void (*answered)(struct control_status *, void *))
{
    static char TEXT[] = "{\"nodes\":[]}";
    struct control_status *status = g_new0(struct control_status, 1);
    status->call.ops = &STATUS_OPS;
    status->call.from = from;
    status->context = context;
    status->answered = answered;
    status->json = TEXT;
    base_call_reply(&status->call);
}

/* ---- batch ---- */

static void
finish_batch(struct base_call *call, void *task_state)
{
    auto *request = (struct batch_request *)call;
    request->answered(request, task_state);
}

static void
drop_batch(struct base_call *call)
{
    batch_request_free((struct batch_request *)call);
}

static const struct base_call_ops BATCH_OPS = {nullptr, finish_batch,
                                               drop_batch};

struct batch_request *
batch_request_new(enum batch_op op, const char *operator_name)
{
    struct batch_request *request = g_new0(struct batch_request, 1);
    request->op = op;
    g_strlcpy(request->operator_name, operator_name,
              sizeof(request->operator_name));
    return request;
}

void
batch_request_free(struct batch_request *request)
{
    g_free(request->json_in);
    g_free(request->json_out);
    if (request->bytes != nullptr) {
        g_bytes_unref(request->bytes);
    }
    g_free(request);
}

static void
accept_upload_data(struct batch_request *request)
{
    gsize size = 0;
    const char *data = (const char *)g_bytes_get_data(request->bytes, &size);
    fakes.uploaded.append(data, size);
}

static void
serve_read(struct batch_request *request)
{
    size_t from = MIN((size_t)request->offset, fakes.content.size());
    size_t size = MIN((size_t)request->length, fakes.content.size() - from);
    request->bytes = g_bytes_new(fakes.content.data() + from, size);
    request->is_end = from + size == fakes.content.size();
}

void
batch_request_send(struct batch *batch, struct batch_request *request,
                   struct base_task *from,
                   void (*answered)(struct batch_request *, void *))
{
    static const char *const NAMES[] = {"open",   "data", "close", "abort",
                                        "get",    "list", "read",  "delete",
                                        "create", "job",  "jobs",  "cancel"};
    std::lock_guard<std::mutex> guard(fakes.lock);
    std::string line = NAMES[request->op];
    line += " " + std::string(request->operator_name) + " " + request->id;
    if (request->idempotency_key[0] != '\0') {
        line += std::string(" key=") + request->idempotency_key;
    }
    if (request->json_in != nullptr) {
        line += std::string(" ") + request->json_in;
    }
    fakes.batch_log.push_back(line);
    request->call.ops = &BATCH_OPS;
    request->call.from = from;
    request->answered = answered;
    request->status = 200;
    if (request->op == BATCH_UPLOAD_OPEN) {
        g_strlcpy(request->id, "file-1", sizeof(request->id));
    }
    else if (request->op == BATCH_UPLOAD_DATA) {
        accept_upload_data(request);
        request->status = fakes.upload_status;
    }
    else if (request->op == BATCH_FILE_READ) {
        serve_read(request);
    }
    request->json_out = g_strdup_printf("{\"id\":\"%s\",\"bytes\":%zu}",
                                        request->id, fakes.content.size());
    base_call_reply(&request->call);
}

/* ---- config ---- */

static void
finish_config(struct base_call *call, void *task_state)
{
    auto *request = (struct config_request *)call;
    request->answered(request, task_state);
}

static const struct base_call_ops CONFIG_OPS = {nullptr, finish_config,
                                                nullptr};

struct config_request *
config_request_new(enum config_op op, const char *author)
{
    struct config_request *request = g_new0(struct config_request, 1);
    request->op = op;
    g_strlcpy(request->author, author, sizeof(request->author));
    return request;
}

void
config_request_free(struct config_request *request)
{
    g_free(request->json_in);
    g_free(request->json_out);
    g_free(request);
}

void
config_request_send(struct platform *platform, struct config_request *request,
                    struct base_task *from,
                    void (*answered)(struct config_request *, void *))
{
    static const char *const NAMES[] = {"check", "try",     "promote",
                                        "show",  "history", "diff"};
    std::lock_guard<std::mutex> guard(fakes.lock);
    fakes.config_log.push_back(std::string(NAMES[request->op]) + " " +
                               request->author + " " + request->environment +
                               " " + std::to_string(request->revision) + " " +
                               std::to_string(request->expect_revision) + " " +
                               (request->json_in ? request->json_in : "-"));
    request->call.ops = &CONFIG_OPS;
    request->call.from = from;
    request->answered = answered;
    request->status = 200;
    request->json_out = g_strdup("{\"number\":7}");
    base_call_reply(&request->call);
}

/* ---- the fakes' state ---- */

void
fakes_reset()
{
    std::lock_guard<std::mutex> guard(fakes.lock);
    fakes.answers.clear();
    fakes.unreachable.clear();
    fakes.is_busy = false;
    fakes.reduction = {};
    fakes.admissions.clear();
    fakes.held.clear();
    fakes.released.clear();
    fakes.late_first_token_us.clear();
    fakes.responses.clear();
    fakes.n_bad_releases = 0;
    fakes.delays_admissions = false;
    fakes.delayed_admissions.clear();
    fakes.is_rate_allowed = true;
    fakes.rate_requests.clear();
    fakes.is_ready = true;
    fakes.batch_log.clear();
    fakes.uploaded.clear();
    fakes.content.clear();
    fakes.config_log.clear();
    fakes.upload_status = 200;
    fakes.prompts.forget();
}

void
fakes_answer_delayed()
{
    std::lock_guard<std::mutex> guard(fakes.lock);
    fakes.delays_admissions = false;
    for (struct control_admission *admission : fakes.delayed_admissions) {
        answer_admission(admission);
    }
    fakes.delayed_admissions.clear();
}

size_t
fakes_count_held()
{
    std::lock_guard<std::mutex> guard(fakes.lock);
    return fakes.held.size();
}

/* ---- an HTTP client ---- */

int
test_connect(int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons((uint16_t)port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
    return fd;
}

static bool
read_more(int fd, std::string *text)
{
    char buffer[65536];
    ssize_t n = recv(fd, buffer, sizeof(buffer), 0);
    if (n <= 0) {
        return false;
    }
    text->append(buffer, (size_t)n);
    return true;
}

static void
read_head(struct answer *answer, const std::string &head)
{
    answer->status = atoi(head.c_str() + 9);
    size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
        size_t end = head.find("\r\n", at + 2);
        std::string line = head.substr(at + 2, end - at - 2);
        size_t colon = line.find(": ");
        if (colon != std::string::npos) {
            answer->headers[line.substr(0, colon)] = line.substr(colon + 2);
        }
        at = end;
    }
}

static void
read_chunks(int fd, std::string *text, struct answer *answer)
{
    while (true) {
        size_t line = text->find("\r\n");
        if (line == std::string::npos) {
            if (!read_more(fd, text)) {
                return;
            }
            continue;
        }
        size_t size = strtoul(text->c_str(), nullptr, 16);
        while (text->size() < line + 2 + size + 2) {
            if (!read_more(fd, text)) {
                return;
            }
        }
        answer->body += text->substr(line + 2, size);
        text->erase(0, line + 2 + size + 2);
        if (size == 0) {
            answer->is_complete = true;
            return;
        }
    }
}

struct answer
test_read_answer(int fd, std::string *rest)
{
    struct answer answer;
    std::string none;
    std::string &text = rest != nullptr ? *rest : none;
    size_t end;
    while ((end = text.find("\r\n\r\n")) == std::string::npos) {
        if (!read_more(fd, &text)) {
            return answer;
        }
    }
    read_head(&answer, text.substr(0, end));
    text.erase(0, end + 4);
    if (answer.status == 100) {
        return answer;
    }
    if (answer.headers.count("transfer-encoding")) {
        read_chunks(fd, &text, &answer);
        return answer;
    }
    size_t size = (size_t)atol(answer.headers["content-length"].c_str());
    while (text.size() < size && read_more(fd, &text)) {
    }
    answer.body = text.substr(0, size);
    answer.is_complete = text.size() >= size;
    text.erase(0, size);
    return answer;
}

struct answer
test_exchange(int port, const std::string &request)
{
    int fd = test_connect(port);
    test_write(fd, request);
    struct answer answer = test_read_answer(fd);
    close(fd);
    return answer;
}

std::string
test_post(const std::string &path, const std::string &body,
          const std::string &headers)
{
    return "POST " + path +
           " HTTP/1.1\r\nhost: x\r\nauthorization: Bearer k-all\r\n" +
           headers + "content-length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string
test_get(const std::string &path, const std::string &headers)
{
    return "GET " + path +
           " HTTP/1.1\r\nhost: x\r\nauthorization: Bearer k-all\r\n" +
           headers + "\r\n";
}

std::string
test_chat(bool stream, int max_tokens)
{
    return test_post(
        "/v1/chat/completions",
        std::string("{\"model\":\"m1\",\"stream\":") +
            (stream ? "true" : "false") +
            ",\"max_tokens\":" + std::to_string(max_tokens) +
            ",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}");
}

/* ---- engines ---- */

std::string
test_stream_head(const std::string &request)
{
    return "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
           "x-request-id: " +
           test_header(request, "x-request-id") + "\r\n\r\n";
}

static std::string
event(const std::string &request, const std::string &choice)
{
    bool is_chat = request.find("/v1/completions ") == std::string::npos;
    return std::string("data: {\"id\":\"") +
           (is_chat ? "chatcmpl-" : "cmpl-") +
           test_header(request, "x-request-id") +
           "\",\"object\":\"chat.completion.chunk\",\"created\":1,"
           "\"model\":\"m1\",\"choices\":[{\"index\":0," +
           choice + "}]}\n\n";
}

std::string
test_token(const std::string &request, int number)
{
    return event(request, "\"delta\":{\"content\":\"t" +
                              std::to_string(number) +
                              " \"},\"finish_reason\":null");
}

std::string
test_stream_end(const std::string &request)
{
    return event(request, "\"delta\":{},\"finish_reason\":\"stop\"") +
           "data: [DONE]\n\n";
}

void
test_engine(int fd, const std::string &request)
{
    int first = atoi(test_header(request, "x-resume-offset").c_str());
    std::string text = test_stream_head(request);
    text += event(request,
                  "\"delta\":{\"role\":\"assistant\"},\"finish_reason\":null");
    for (int i = first; i < 5; i++) {
        text += test_token(request, i);
    }
    test_write(fd, text + test_stream_end(request));
}

/* ---- a front ---- */

static std::string
hash_key(const std::string &key)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    std::string text;
    SHA256((const unsigned char *)key.data(), key.size(), digest);
    for (unsigned char byte : digest) {
        char hex[3];
        snprintf(hex, sizeof(hex), "%02x", byte);
        text += hex;
    }
    return text;
}

static std::string
servers_text(const std::string &deployment, const std::string &prefix,
             const std::vector<struct test_server *> &servers, bool can_resume)
{
    std::string text;
    for (size_t i = 0; i < servers.size(); i++) {
        text += text.empty() ? "" : ",";
        text +=
            "{\"name\":\"" + prefix + std::to_string(i + 1) +
            "\",\"address\":\"127.0.0.1:" + std::to_string(servers[i]->port) +
            "\",\"zone\":\"z1\",\"deployment\":\"" + deployment +
            "\",\"can_resume\":" + (can_resume ? "true" : "false") + "}";
    }
    return text;
}

void
Front::SetUp()
{
    struct base_error err = {};
    fakes_reset();
    base_log_setup("test", BASE_LOG_ERROR);
    base_counters_init(&counters);
    ASSERT_TRUE(base_tracer_init(&tracer, nullptr, "n1", &err));
    desc.node = "n1";
    desc.zone = "z1";
    desc.address = "127.0.0.1";
    desc.counters = &counters;
    desc.tracer = &tracer;
}

struct world *
Front::make_world(const std::vector<struct test_server *> &engines,
                  const std::vector<struct test_server *> &services)
{
    std::string servers = servers_text("d1", "e", engines, can_resume);
    std::string others = servers_text("stock", "s", services, false);
    std::string text =
        "{\"format\":1,\"environment\":\"production\",\"regions\":[{"
        "\"name\":\"r1\",\"zones\":[\"z1\"]}],\"links\":[],\"operators\":[{"
        "\"name\":\"op\"" +
        operator_limits + ",\"keys\":[{\"sha256\":\"" + hash_key("k-all") +
        "\",\"scopes\":[\"online\",\"batch\",\"admin-read\",\"admin-trial\","
        "\"admin-production\"]},{\"sha256\":\"" +
        hash_key("k-batch") +
        "\",\"scopes\":[\"batch\"]}]},{\"name\":\"other\",\"keys\":[]}],"
        "\"deployments\":[{\"name\":\"d1\",\"kind\":\"engine\",\"model\":"
        "\"m1\",\"version\":\"1\",\"long_tokens\":100},{\"name\":\"d2\","
        "\"kind\":\"engine\",\"model\":\"m2\",\"version\":\"1\","
        "\"operators\":[\"other\"]},{\"name\":\"stock\",\"kind\":\"service\","
        "\"routes\":[{\"method\":\"GET\",\"prefix\":\"/\",\"idempotent\":true}"
        "]}],\"servers\":[" +
        servers + (servers.empty() || others.empty() ? "" : ",") + others +
        "],\"limits\":{\"body_bytes\":100000" + limits +
        "},\"batch\":{\"file_bytes\":4000000}}";
    struct world_problems problems;
    world_problems_init(&problems);
    struct world *made = world_parse(text.data(), text.size(), &problems);
    for (guint i = 0; i < problems.all->len; i++) {
        auto *problem =
            (struct world_problem *)g_ptr_array_index(problems.all, i);
        ADD_FAILURE() << problem->path << ": " << problem->text;
    }
    world_problems_finish(&problems);
    return made;
}

void
Front::start(const std::vector<struct test_server *> &engines,
             const std::vector<struct test_server *> &services)
{
    world = make_world(engines, services);
    ASSERT_NE(world, nullptr);
    struct base_error err = {};
    front = front_start(&desc, &err);
    ASSERT_NE(front, nullptr) << err.text;
    port = front_port(front);
    front_update(front, world, nullptr);
    while (ask(test_get("/readyz")).status != 200) {
        g_usleep(1000);
    }
}

void
Front::TearDown()
{
    if (front != nullptr) {
        wait_until_released();
        front_stop(front);
    }
    EXPECT_EQ(fakes.n_bad_releases, 0);
    if (world != nullptr) {
        world_unref(world);
    }
    base_tracer_finish(&tracer);
    base_counters_finish(&counters);
}

int64_t
Front::counter(const std::string &name)
{
    return base_counter_value(base_counter(&counters, name.c_str()));
}

void
Front::wait_until_released()
{
    while (fakes_count_held() > 0 || !fakes.delayed_admissions.empty()) {
        g_usleep(1000);
    }
}
