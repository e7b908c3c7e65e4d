#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <sys/stat.h>

#include "front/test_support.h"

namespace {

/* Replaces the key and the certificate in the folder by rename.  The
 * certificate is self-signed and has `name` as its subject. */
void
write_key_pair(const std::string &folder, const char *name)
{
    EVP_PKEY *key = EVP_EC_gen("P-256");
    X509 *certificate = X509_new();
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
    X509_set_pubkey(certificate, key);
    X509_NAME *subject = X509_get_subject_name(certificate);
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               (const unsigned char *)name, -1, -1, 0);
    X509_set_issuer_name(certificate, subject);
    X509_sign(certificate, key, EVP_sha256());
    FILE *file = fopen((folder + "/key.new").c_str(), "w");
    PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    fclose(file);
    file = fopen((folder + "/cert.new").c_str(), "w");
    PEM_write_X509(file, certificate);
    fclose(file);
    rename((folder + "/key.new").c_str(), (folder + "/key").c_str());
    rename((folder + "/cert.new").c_str(), (folder + "/cert").c_str());
    X509_free(certificate);
    EVP_PKEY_free(key);
}

/* A TLS connection to the front; it does not check the certificate. */
struct tls_caller {
    explicit tls_caller(int port)
    {
        fd = test_connect(port);
        context = SSL_CTX_new(TLS_client_method());
        ssl = SSL_new(context);
        SSL_set_fd(ssl, fd);
        is_open = SSL_connect(ssl) == 1;
    }

    ~tls_caller()
    {
        SSL_free(ssl);
        SSL_CTX_free(context);
        close(fd);
    }

    /* The common name of the front's certificate. */
    std::string
    server_name()
    {
        char name[64] = "";
        X509 *certificate = SSL_get1_peer_certificate(ssl);
        if (certificate != nullptr) {
            X509_NAME_get_text_by_NID(X509_get_subject_name(certificate),
                                      NID_commonName, name, sizeof(name));
            X509_free(certificate);
        }
        return name;
    }

    /* Requests /healthz and returns the start of the status line; the response
     * ends with "ok\n". */
    std::string
    ask_health()
    {
        std::string request = test_get("/healthz");
        std::string text;
        char buffer[4096];
        int n = SSL_write(ssl, request.data(), (int)request.size());
        while (n > 0 && text.find("\r\n\r\nok\n") == std::string::npos) {
            n = SSL_read(ssl, buffer, sizeof(buffer));
            text.append(buffer, n > 0 ? (size_t)n : 0);
        }
        return text.substr(0, 12);
    }

    int fd;
    SSL_CTX *context;
    SSL *ssl;
    bool is_open;
};

struct Tls : public Front {
    /* The name in the certificate that a new connection gets. */
    std::string
    current_certificate_name()
    {
        struct tls_caller caller(port);
        return caller.server_name();
    }
};

/* A front must load replaced key files while it runs.  If it loaded a key that
 * does not match the certificate, new callers could not connect any more. */
TEST_F(Tls, ReloadsMatchingKeyFilesWithoutRestart)
{
    std::string folder = testing::TempDir() + "front-tls-XXXXXX";
    ASSERT_NE(mkdtemp(folder.data()), nullptr);
    std::string certificate = folder + "/cert";
    std::string key = folder + "/key";
    write_key_pair(folder, "first");
    desc.tls_certificate_file = certificate.c_str();
    desc.tls_key_file = key.c_str();
    struct base_error err = {};
    front = front_start(&desc, &err);
    ASSERT_NE(front, nullptr) << err.text;
    port = front_port(front);

    struct tls_caller old_caller(port);
    ASSERT_TRUE(old_caller.is_open);
    EXPECT_EQ(old_caller.server_name(), "first");
    EXPECT_EQ(old_caller.ask_health(), "HTTP/1.1 200");
    /* A key that does not match the certificate is not loaded. */
    std::string other = folder + "/other";
    ASSERT_EQ(mkdir(other.c_str(), 0700), 0);
    write_key_pair(other, "other");
    rename((other + "/key").c_str(), key.c_str());
    while (counter("tls_reload_failures_total") == 0) {
        g_usleep(20000);
    }
    EXPECT_EQ(current_certificate_name(), "first");
    unlink((other + "/cert").c_str());
    rmdir(other.c_str());
    write_key_pair(folder, "second");
    std::string seen = "first";
    while (seen == "first") {
        g_usleep(20000);
        seen = current_certificate_name();
    }
    EXPECT_EQ(seen, "second");
    EXPECT_EQ(old_caller.ask_health(), "HTTP/1.1 200");
    EXPECT_EQ(unlink(certificate.c_str()) + unlink(key.c_str()) +
                  rmdir(folder.c_str()),
              0);
}

TEST_F(Tls, MissingKeyFilesFailTheStart)
{
    struct base_error err = {};
    desc.tls_certificate_file = "/nonexistent/cert";
    desc.tls_key_file = "/nonexistent/key";
    EXPECT_EQ(front_start(&desc, &err), nullptr);
    EXPECT_NE(err.code, BASE_OK);
}

} // namespace
