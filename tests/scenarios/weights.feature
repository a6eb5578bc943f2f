Feature: No caller is served by partial or mixed weights

  Background:
    Given the site derwent
    And version v1 in force everywhere
    And 20 callers a second for answers of 40 tokens

  Scenario: A new version is distributed while a target that serves chunks is restarted
    Given an origin of 1000 kB a second
    When version v2 of 2000 kB is accepted
    And 1 seconds pass
    And the daemon of hobart-engine-1 is killed
    And 1 seconds pass
    And the daemon of hobart-engine-1 is started again
    Then version v2 is in force everywhere
    And every answer is complete and from one version
    And no engine loaded partial weights, or any while it was running requests
    And each refusal that reports not run is true

  Scenario: The origin serves corrupt and short chunks
    When the origin is corrupt
    And version v2 of 2000 kB is accepted
    And 1 seconds pass
    And the origin is short
    And 1 seconds pass
    And the origin is ok
    Then version v2 is in force everywhere
    And every answer is complete and from one version
    And no engine loaded partial weights, or any while it was running requests
    And no request was refused or interrupted

  Scenario: A second version follows after a second and is rolled back while it is distributed
    Given an origin of 1000 kB a second
    When version v2 of 2000 kB is accepted
    And 1 seconds pass
    And version v3 of 2000 kB is accepted
    Then some engine serves version v3
    When version v1 is accepted again
    Then version v1 is in force everywhere
    And every answer is complete and from one version
    And no engine loaded partial weights, or any while it was running requests

  Scenario: An adapter is loaded onto the exact version of its base
    When version a1 of the adapter on base v1 is accepted
    Then adapter version a1 is in force everywhere
    And each adapter was loaded onto its base's version
    And every answer is complete and from one version
