Feature: replicas that leave or ask for rest, with daemons as processes

  Scenario Outline: <kind> while one of three replicas says that it leaves
    # Guards against daemons that send to a replica whose answers say that it
    # leaves, as long as the platform's list says that it is ready.
    Given three daemons and three replicas that serve a <kind>
    When one says that it leaves while callers send 25 requests a second
    Then it gets nothing from a second after its first answer on
    And it still gets nothing as its entry lapses and returns unchanged
    And it gets requests once its id has started again

    Examples: kinds
      | kind               |
      | lookup             |
      | stream             |
      | stream with stages |

  Scenario Outline: <kind> while one of three replicas asks for rest
    # Guards against requests and retries that go on to a replica that has asked
    # for rest.
    Given three daemons and three replicas that serve a <kind>
    When one refuses requests and asks for 3 s of rest
    Then it gets no more than two requests a daemon in each rest
    And every caller is served by the others

    Examples: kinds
      | kind               |
      | lookup             |
      | stream             |
      | stream with stages |

  Scenario: all replicas of a service ask for rest
    # Guards against a caller that waits, or tries again too soon, while nobody
    # may be sent its request.
    When all replicas ask for 3 s of rest and a caller sends two requests
    Then each replica got one request
    And the caller is told at once that neither ran, and when the rest ends
