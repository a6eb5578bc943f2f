Feature: A request that is not idempotent runs at most once

  Background:
    Given the site khangai
    And version v1 in force everywhere

  Scenario: The same key is sent to two entries simultaneously
    Given 20 settlements a second, each sent to two entries simultaneously
    When 3 seconds pass
    Then each instruction ran at most once
    And each refusal that reports not run is true
    And at least 20 instructions were answered

  Scenario: Entries are killed and the services lose answers
    Given 20 settlements a second
    When the back end of darkhan has lose_answers set to true
    And 1 seconds pass
    And the entry darkhan-entry-1 is killed
    And the entry ulaanbaatar-entry-2 is killed
    And 2 seconds pass
    Then each instruction ran at most once
    And each refusal that reports not run is true
    And at least 20 instructions were answered

  Scenario: A gate is paused past its deadline and the platform loses answers
    Given 20 settlements a second
    When the platform loses answers
    And 2 seconds pass
    And the platform is ok
    And ulaanbaatar-service-1 is paused
    And 8 seconds pass
    And ulaanbaatar-service-1 is resumed
    And 1 seconds pass
    Then each instruction ran at most once
    And each refusal that reports not run is true
    And at least 20 instructions were answered

  Scenario: The platform goes down and then answers slowly
    Given 20 settlements a second, each sent to two entries simultaneously
    When the platform is down
    And 2 seconds pass
    And the platform is ok
    And the platform answers after 3 seconds
    And 4 seconds pass
    And the platform answers after 0 seconds
    Then instructions are answered again
    And each instruction ran at most once
    And each refusal that reports not run is true
